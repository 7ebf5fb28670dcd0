import { createProblem, Outcome } from "../../src/errors";
import type { Defect } from "./createCluster";

/** Faults that the judge has to find, each one a mistake that this design is there to prevent. */
export const defects = {
    /** Keys are remembered by each entry alone; no claim is made. */
    "no claim": {
        wrapOnce: (once) => ({
            ...once,
            admit: admitAlways,
            claim: () => Promise.resolve(undefined),
            settle: tellSame,
        }),
    },
    /** The task is sent first, and the claim follows. */
    "claim after the send": {
        wrapOnce: (once) => ({
            ...once,
            claim(claim) {
                setTimeout(() => void once.claim(claim), 50);
                return Promise.resolve(undefined);
            },
        }),
    },
    /** A lost answer of a worker is taken for a refusal. */
    "not run on a lost answer": {
        wrapWorkers: (workers) => ({
            ...workers,
            async runTask(worker, order, signal) {
                const result = await workers.runTask(worker, order, signal);
                return result.kind === "unknown" ? { kind: "notRun", reason: "unreachable" } : result;
            },
        }),
    },
    /** An entry that cannot see the claims says "not run" of a key that it knows nothing of. */
    "not run without a look": {
        wrapOnce: (once) => ({
            ...once,
            async admit(request, signal) {
                const admission = await once.admit(request, signal);
                if (admission.kind === "run" || admission.end.kind === "answered") {
                    return admission;
                }
                const { code, outcome } = admission.end.problem;
                const isSilent = code === "PLATFORM_UNAVAILABLE" && outcome === Outcome.Unknown;
                return isSilent
                    ? { kind: "ended", end: { kind: "problem", problem: createProblem(code, "not sent") } }
                    : admission;
            },
        }),
    },
} as const satisfies Record<string, Defect>;

function admitAlways(request: { team: string; idempotencyKey?: string; id: string; }) {
    const claim = { team: request.team, idempotencyKey: request.idempotencyKey ?? request.id, number: 1 };
    return Promise.resolve({ kind: "run" as const, claim });
}

function tellSame<T>(_claim: unknown, end: T): Promise<T> {
    return Promise.resolve(end);
}
