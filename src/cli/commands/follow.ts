import { Args, Flags } from "@oclif/core";
import { callEntry, entryFlags, reportFailure } from "../callEntry";
import { defineCommand, type Invocation } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { writeJson, writeLine } from "../output";

const pollMs = 500;
const endedStates = new Set(["done", "finished", "cancelled", "stopped", "failed"]);

/** `samphirepin follow`: prints the progress of a confirmed plan until it ends. */
export const follow = defineCommand({
    id: "follow",
    summary: "follow a confirmed plan until it ends",
    flags: { ...entryFlags, once: Flags.boolean({ description: "print the progress once and return" }) },
    args: { plan: Args.string({ description: "id of the plan", required: true }) },
    examples: ["follow 5f0c1c7e", "follow 5f0c1c7e --once --json"],
    run: async ({ flags, args }) => {
        let printed = "";
        for (;;) {
            const answer = await callEntry(flags as never, {
                method: "GET",
                path: `/operator/plans/${encodeURIComponent(args["plan"] ?? "")}`,
            });
            if (answer.isLeft()) {
                return answer.swap().map((failure) => reportFailure(failure, flags["json"] === true))
                    .extract() as ExitCode;
            }
            const progress = answer.extract() as Progress;
            printed = writeProgress(progress, flags, printed);
            if (flags["once"] === true || endedStates.has(progress.state)) {
                return progress.state === "failed" || progress.state === "stopped" ? ExitCode.Refused : ExitCode.Done;
            }
            await new Promise((resolve) => setTimeout(resolve, pollMs));
        }
    },
});

interface Progress {
    readonly id: string;
    readonly state: string;
    readonly done?: number;
    readonly total?: number;
    readonly detail?: string;
}

/** Writes only what is new; gives what stands printed. */
function writeProgress(progress: Progress, flags: Invocation["flags"], printed: string): string {
    const { id, state, done, total, detail } = progress;
    const count = total === undefined ? "" : ` ${done ?? 0} of ${total}`;
    const line = `plan ${id}: ${state}${count}${detail === undefined ? "" : `: ${detail}`}`;
    if (flags["json"] === true) {
        writeJson(progress);
    }
    else if (line !== printed) {
        writeLine(line);
    }
    return line;
}
