import { Flags } from "@oclif/core";
import { callEntry, reportFailure } from "./callEntry";
import type { Invocation } from "./defineCommand";
import { ExitCode } from "./exitCode";
import { writeAnswer, writeLine } from "./output";

const defaultWaitMs = 10_000;
/** The entry answers a little after the time that it was asked to wait. */
const marginMs = 5000;

/** Flag of every command whose change has to reach all entries. */
export const waitFlags = {
    "wait-ms": Flags.integer({
        description: "how long to wait until the change is in force everywhere, in milliseconds; 0 does not wait",
        default: defaultWaitMs,
        min: 0,
    }),
};

interface InForceAnswer {
    readonly everywhere: boolean;
    readonly missing: readonly {
        readonly instance: string;
        readonly zone: string;
        readonly revision?: number;
        readonly lastHeardAtMs?: number;
    }[];
}

/** Waits until a revision is in force on every entry that may still serve; else names those that have not confirmed. */
export async function awaitInForce(flags: Invocation["flags"], revision: number): Promise<ExitCode> {
    const waitMs = Number(flags["wait-ms"] ?? 0);
    if (waitMs === 0) {
        return ExitCode.Done;
    }
    const answer = await callEntry(flags as never, {
        method: "GET",
        path: `/operator/revisions/${revision}?waitMs=${waitMs}`,
        timeoutMs: waitMs + marginMs,
    });
    return answer.caseOf<ExitCode>({
        Left: (failure) => reportFailure(failure, flags["json"] === true),
        Right: (body) => {
            const inForce = body as InForceAnswer;
            writeAnswer(inForce, flags["json"] === true, writeInForce);
            return inForce.everywhere ? ExitCode.Done : ExitCode.NotInForce;
        },
    });
}

function writeInForce({ everywhere, missing }: InForceAnswer): void {
    if (everywhere) {
        writeLine("in force everywhere");
        return;
    }
    writeLine("accepted, and not confirmed yet by:");
    missing.forEach(({ instance, zone, revision, lastHeardAtMs }) => {
        const heard = lastHeardAtMs === undefined ? "not heard" : `last heard ${new Date(lastHeardAtMs).toISOString()}`;
        writeLine(`  ${instance} in ${zone}: ${heard}, at revision ${revision ?? "unknown"}`);
    });
}
