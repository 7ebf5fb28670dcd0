import { Args } from "@oclif/core";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand } from "../defineCommand";
import { writeLine } from "../output";

/** `samphirepin confirm`: has a plan carried out. */
export const confirm = defineCommand({
    id: "confirm",
    summary: "confirm a plan, which is then carried out",
    description: "Confirming twice does it once. A plan is refused when what it touches has moved on.",
    flags: entryFlags,
    args: { plan: Args.string({ description: "id of the plan", required: true }) },
    examples: ["confirm 5f0c1c7e"],
    run: ({ flags, args }) =>
        callAndPrint(
            flags,
            { method: "POST", path: `/operator/plans/${encodeURIComponent(args["plan"] ?? "")}/confirm`, body: {} },
            ({ id, revision }: { id: string; revision: number; }) => {
                writeLine(`confirmed plan ${id} at revision ${revision}`);
                writeLine(`follow with: samphirepin follow ${id}`);
            },
        ),
});
