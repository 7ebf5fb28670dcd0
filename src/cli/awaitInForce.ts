import { Flags } from "@oclif/core";
import { callEntry, reportFailure } from "./callEntry";
import type { Invocation } from "./defineCommand";
import { ExitCode } from "./exitCode";
import { writeAnswer, writeLine } from "./output";

const defaultWaitMs = 10_000;
/** Added to the timeout: the entry answers shortly after the requested waiting time. */
const answerMarginMs = 5000;

/** Flag of the commands whose change has to reach all entries. */
export const waitFlags = {
    "wait-ms": Flags.integer({
        description: "maximum time to wait until the change is in force everywhere, in milliseconds; 0 does not wait",
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

/** Waits until a revision is in force on every entry that may still serve; prints the entries that did not confirm. */
export async function awaitInForce(flags: Invocation["flags"], revision: number): Promise<ExitCode> {
    const waitMs = Number(flags["wait-ms"] ?? 0);
    if (waitMs === 0) {
        return ExitCode.Done;
    }
    const answer = await callEntry(flags as never, {
        method: "GET",
        path: `/operator/revisions/${revision}?waitMs=${waitMs}`,
        timeoutMs: waitMs + answerMarginMs,
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
    writeLine("accepted, not yet confirmed by:");
    missing.forEach(({ instance, zone, revision, lastHeardAtMs }) => {
        const contact = lastHeardAtMs === undefined
            ? "never heard from"
            : `last heard from at ${new Date(lastHeardAtMs).toISOString()}`;
        writeLine(`  ${instance} in ${zone}: ${contact}, at revision ${revision ?? "unknown"}`);
    });
}
