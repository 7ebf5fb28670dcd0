import { Args } from "@oclif/core";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand, type DefinedCommand } from "../defineCommand";
import { writeLine } from "../output";

function definePlanControl(verb: "pause" | "resume" | "cancel", summary: string): DefinedCommand {
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

export const planPause = definePlanControl("pause", "pause a confirmed plan: no further step starts");
export const planResume = definePlanControl("resume", "resume a paused plan");
export const planCancel = definePlanControl("cancel", "cancel a plan once the steps in progress have ended");
