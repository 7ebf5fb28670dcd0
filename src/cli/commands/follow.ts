import { Args, Flags } from "@oclif/core";
import { pause } from "../../clock";
import { callEntry, entryFlags, reportFailure } from "../callEntry";
import { defineCommand, type Invocation } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { writeJson, writeLine } from "../output";

const pollMs = 500;

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
            if (flags["once"] === true || progress.status.kind !== "running") {
                return progress.status.kind === "stopped" ? ExitCode.Refused : ExitCode.Done;
            }
            await pause(pollMs);
        }
    },
});

interface Progress {
    readonly id: string;
    readonly status: { readonly kind: string; readonly reason?: string; };
    readonly counts?: { readonly done: number; readonly failed: number; readonly skipped: number; };
    /** Waiting steps by key, or only their number. */
    readonly waiting?: Readonly<Record<string, unknown>> | number;
    readonly active?: readonly string[];
}

/** Writes the progress if it has changed; returns the line that was printed last. */
function writeProgress(progress: Progress, flags: Invocation["flags"], printed: string): string {
    const line = describeProgress(progress);
    if (flags["json"] === true && line !== printed) {
        writeJson(progress);
    }
    else if (line !== printed) {
        writeLine(line);
    }
    return line;
}

function describeProgress({ id, status, counts, waiting, active }: Progress): string {
    const reason = status.reason === undefined ? "" : ` (${status.reason})`;
    if (counts === undefined) {
        return `plan ${id}: ${status.kind}${reason}`;
    }
    const waitingCount = typeof waiting === "number" ? waiting : Object.keys(waiting ?? {}).length;
    return `plan ${id}: ${status.kind}${reason}; ${counts.done} done, ${
        active?.length ?? 0
    } in progress, ${waitingCount} waiting, `
        + `${counts.failed} failed, ${counts.skipped} skipped`;
}
