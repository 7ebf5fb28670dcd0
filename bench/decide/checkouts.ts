import { execFileSync } from "node:child_process";
import { cpSync, existsSync } from "node:fs";
import { join, resolve } from "node:path";
import { type Decision, patchFile, type Variant } from "./decisions";

/**
 * Makes a checkout of the last commit for a variant, with its patch on it; one that is there already is used again.
 *
 * @param benchProgram builds the checkout, so that plays at the same time need not; empty where none is played
 */
export function prepareCheckout(folder: string, decision: Decision, variant: Variant, benchProgram: string): string {
    const checkout = resolve(folder, `${decision.name}.${variant.name}`);
    if (existsSync(checkout)) {
        return checkout;
    }
    execFileSync("git", ["clone", "--quiet", ".", checkout]);
    if (!variant.isStanding) {
        execFileSync("git", ["-C", checkout, "apply", resolve(patchFile(decision, variant))]);
    }
    // A copy: a build may install its packages anew, and through a link would remove those of the repository.
    cpSync(resolve("node_modules"), join(checkout, "node_modules"), { recursive: true });
    if (benchProgram !== "") {
        execFileSync(benchProgram, ["build"], { cwd: checkout, stdio: "ignore" });
    }
    return checkout;
}
