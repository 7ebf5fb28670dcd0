import { execFileSync } from "node:child_process";
import { existsSync, symlinkSync } from "node:fs";
import { join, resolve } from "node:path";
import { type Decision, patchFile, type Variant } from "./decisions";

/** Makes a checkout of the last commit for a variant, with its patch on it; one that is there already is used again. */
export function prepareCheckout(folder: string, decision: Decision, variant: Variant): string {
    const checkout = resolve(folder, `${decision.name}.${variant.name}`);
    if (existsSync(checkout)) {
        return checkout;
    }
    execFileSync("git", ["clone", "--quiet", ".", checkout]);
    if (!variant.isStanding) {
        execFileSync("git", ["-C", checkout, "apply", resolve(patchFile(decision, variant))]);
    }
    symlinkSync(resolve("node_modules"), join(checkout, "node_modules"));
    return checkout;
}
