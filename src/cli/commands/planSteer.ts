import { Args } from "@oclif/core";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand, type DefinedCommand } from "../defineCommand";
import { writeLine } from "../output";

function definePlanSteer(verb: "pause" | "resume" | "cancel", summary: string): DefinedCommand {
    return defineCommand({
        id: verb,
        summary,
        flags: entryFlags,
        args: { plan: Args.string({ description: "id of the plan", required: true }) },
        examples: [`${verb} 5f0c1c7e`],
        run: ({ flags, args }) => {
            const path = `/operator/plans/${encodeURIComponent(args["plan"] ?? "")}/${verb}`;
            return callAndPrint(
                flags,
                { method: "POST", path, body: {} },
                () => writeLine(`${verb}: plan ${args["plan"]}`),
            );
        },
    });
}

export const planPause = definePlanSteer("pause", "begin no further step of a confirmed plan");
export const planResume = definePlanSteer("resume", "go on with a paused plan");
export const planCancel = definePlanSteer("cancel", "end a plan after the steps that are under way");
