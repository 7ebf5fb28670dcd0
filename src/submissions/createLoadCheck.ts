import type { Admission, AdmissionBasis } from "../admission";
import type { Reporter } from "../logging";
import type { QueueConfig, Tenant } from "../policy";
import type { Store } from "../store";
import { createAttemptLog } from "./createAttemptLog";
import { createRecordFinder, type FindResult } from "./createRecordFinder";
import { declaredCriticalPathMs } from "./declaredCriticalPathMs";
import { submissionKey } from "./record";
import type { SubmissionRequest } from "./submission";
import type { AcceptResult } from "./submissionApi";

export interface LoadCheckOptions {
    readonly admission: Admission;
    readonly store: Pick<Store, "read">;
    /** Whether the store counts as slow or lost; then nothing is refused for load. */
    readonly isStoreSlow: () => boolean;
    readonly report: Reporter;
    /** Reads the monotonic clock, in milliseconds. */
    readonly nowMs: () => number;
}

/** Refuses submissions for load, if that is truthful. */
export interface LoadCheck {
    /** Gives the answer to a submission that is refused or was stored before; `undefined`: it has to be stored. */
    check(
        request: SubmissionRequest,
        queue: QueueConfig,
        account: Tenant | undefined,
    ): Promise<AcceptResult | undefined>;
    /** Stores a submission that `check` has let through, and remembers the attempt. */
    track(id: string, store: () => Promise<AcceptResult>): Promise<AcceptResult>;
    /** Another entry has written the submission without an answer of the store. */
    recordElsewhere(id: string): void;
    /** Whether an attempt, in progress here or one of the last seconds, may have stored the submission. */
    mayBeStored(id: string): boolean;
}

/** Why a submission that the load speaks against is stored all the same. */
type PassReason = "storeSlow" | "earlierAttempt" | "noAnswer";

/**
 * Creates a check by the entry's admission.
 *
 * The client may have sent the submission before, and its tasks run then. So a submission is refused only if the store
 * has no record of it and no attempt that this entry knows of can still add one. In doubt the submission takes the usual path.
 */
export function createLoadCheck(opts: LoadCheckOptions): LoadCheck {
    const { admission, nowMs } = opts;
    const attempts = createAttemptLog(nowMs);
    const finder = createRecordFinder(opts.store);

    async function findEarlier(id: string): Promise<FindResult | PassReason> {
        if (opts.isStoreSlow()) {
            return "storeSlow";
        }
        if (attempts.mayBeStored(id)) {
            return "earlierAttempt";
        }
        const found = await finder.find(submissionKey(id));
        // Another attempt may have begun during the read.
        return found === "missing" && attempts.mayBeStored(id) ? "earlierAttempt" : found;
    }

    function pass(id: string, reason: PassReason, basis: AdmissionBasis, account: Tenant | undefined): undefined {
        admission.recordAccepted(account, nowMs());
        opts.report({
            kind: "refusalSkipped",
            submission: id,
            reason,
            tokens: basis.tokens,
            excessWaitMs: basis.excessWaitMs,
            slackMs: basis.slackMs,
            summaryAgeMs: Math.round(basis.summaryAgeMs),
        });
    }

    return {
        async check(request, queue, account) {
            const decision = admission.decide({
                account,
                pool: queue.service,
                // The load of now says nothing about work that is repeated later.
                isAlwaysAccepted: request.schedule.repeats > 0
                    || request.steps.some(({ isLongRunning }) => isLongRunning),
                slackMs: queue.targetLatencyMs + (queue.stretch - 1) * declaredCriticalPathMs(request.steps),
            }, nowMs());
            if (decision.kind === "accept") {
                admission.recordAccepted(account, nowMs());
                return undefined;
            }
            const earlier = await findEarlier(request.id);
            switch (earlier) {
                case "cancelledBefore":
                    return { kind: "cancelledBefore" };
                case "found":
                    return { kind: "accepted", isNew: false };
                case "missing":
                    return {
                        kind: "overloaded",
                        detail: describeBasis(decision.basis),
                        retryAfterMs: decision.retryAfterMs,
                    };
                case "storeSlow":
                case "earlierAttempt":
                case "noAnswer":
                    return pass(request.id, earlier, decision.basis, account);
            }
        },
        async track(id, store) {
            attempts.begin(id);
            const result = await store();
            attempts.end(id, result.kind !== "storeUnavailable");
            return result;
        },
        recordElsewhere: attempts.recordElsewhere,
        mayBeStored: attempts.mayBeStored,
    };
}

function describeBasis({ tokens, excessWaitMs, slackMs, summaryAgeMs }: AdmissionBasis): string {
    return `tokens=${tokens.toFixed(2)} excessWaitMs=${Math.round(excessWaitMs)} slackMs=${Math.round(slackMs)} `
        + `summaryAgeMs=${Math.round(summaryAgeMs)}`;
}
