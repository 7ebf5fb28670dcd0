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

/** `samphirepin confirm`: has a plan carried out. */
export const confirm = defineCommand({
    id: "confirm",
    summary: "confirm a plan, which is then carried out",
    description: "Confirming twice does it once. A plan is refused when what it touches has moved on.",
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
