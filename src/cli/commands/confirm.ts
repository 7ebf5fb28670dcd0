import { Args } from "@oclif/core";
import { awaitInForce, waitFlags } from "../awaitInForce";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand } from "../defineCommand";
import { writeLine } from "../output";

interface Confirmed {
    readonly id: string;
    readonly revision: number;
    readonly wasConfirmedBefore?: boolean;
}

/** `samphirepin confirm`: confirms a plan for execution. */
export const confirm = defineCommand({
    id: "confirm",
    summary: "confirm a plan for execution",
    description:
        "Confirming again has no further effect. A plan is refused if what it affects has changed since it was made.",
    flags: { ...entryFlags, ...waitFlags },
    args: { plan: Args.string({ description: "id of the plan", required: true }) },
    examples: ["confirm 5f0c1c7e"],
    run: ({ flags, args }) =>
        callAndPrint(
            flags,
            { method: "POST", path: `/operator/plans/${encodeURIComponent(args["plan"] ?? "")}/confirm`, body: {} },
            ({ id, revision, wasConfirmedBefore }: Confirmed) => {
                const when = wasConfirmedBefore === true ? "was confirmed before" : "confirmed";
                writeLine(`${when}: plan ${id} at revision ${revision}`);
                writeLine(`follow with: samphirepin follow ${id}`);
            },
            ({ revision }) => awaitInForce(flags, revision),
        ),
});
