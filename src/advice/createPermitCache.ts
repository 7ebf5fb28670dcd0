import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { AdviceConfig } from "../policy";
import type { AdviceClient, AdviceResult } from "./adviceClient";
import { type AdviceCandidate, countInTime, createStepPermits, type StepPermits } from "./createStepPermits";

export interface PermitCacheOptions {
    readonly advice: AdviceClient;
    readonly steadyMs: () => number;
    readonly report: Reporter;
    /** Called when an answer has arrived. */
    onChange(): void;
}

export interface PermitCache {
    /**
     * Returns the ids of the workers that may run the step now.
     *
     * @param findBornMs start of the present incarnation of a worker, in milliseconds since 1970
     */
    allowedWorkers(step: string, findBornMs: (workerId: string) => number | undefined): ReadonlySet<string>;
    /** Requests advice for a step whose tasks could not be placed on the workers that may run it now. */
    request(step: string, advice: AdviceConfig, candidates: readonly AdviceCandidate[]): void;
    /** Returns the ticket for a start on an incarnation of a worker, or `undefined` if no valid one is known. */
    ticket(step: string, workerId: string, bornMs: number): string | undefined;
}

/** Most workers named in one request. Each worker costs time, and a step rarely needs more. */
const maxBatch = 30;

/** Bound on the service's declared response time to one request, in milliseconds; below the timeout of a request. */
const maxResponseMs = 2000;

/** Pause after a request that was rejected or got no answer, in milliseconds. */
const retryMs = 200;

/** A pending request that no planning round has repeated for this long is dropped, in milliseconds. */
const maxPendingMs = 5000;

/** What is known of a step is dropped after this time without use, in milliseconds. */
const maxUnusedMs = 60_000;

interface CachedStep {
    readonly permits: StepPermits;
    usedAtMs: number;
}

interface PendingRequest {
    readonly advice: AdviceConfig;
    readonly candidates: readonly AdviceCandidate[];
    readonly updatedAtMs: number;
}

/**
 * Requests permits one at a time, because the service answers requests one after another. Steps take turns: one whose
 * permitted workers are still unknown after an answer is requested again behind those that wait.
 */
export function createPermitCache(opts: PermitCacheOptions): PermitCache {
    const { steadyMs } = opts;
    const steps = new Map<string, CachedStep>();
    const pending = new Map<string, PendingRequest>();
    let batchLimit = maxBatch;
    let isRequesting = false;

    function useStep(step: string): StepPermits {
        const cached = steps.get(step) ?? { permits: createStepPermits(), usedAtMs: 0 };
        cached.usedAtMs = steadyMs();
        // Least recently used steps come first.
        steps.delete(step);
        steps.set(step, cached);
        return cached.permits;
    }

    function dropUnused(): void {
        for (const [step, { usedAtMs }] of steps) {
            if (steadyMs() - usedAtMs < maxUnusedMs) {
                return;
            }
            steps.delete(step);
        }
    }

    function chooseBatch(step: string, { advice, candidates }: PendingRequest): readonly AdviceCandidate[] {
        const maxWorkers = Math.min(batchLimit, countInTime(advice, maxResponseMs));
        return useStep(step).chooseBatch(candidates, { advice, maxWorkers, nowMs: steadyMs() });
    }

    async function requestPending(): Promise<void> {
        if (isRequesting) {
            return;
        }
        isRequesting = true;
        for (let next = pending.entries().next(); !next.done; next = pending.entries().next()) {
            const [step, request] = next.value;
            const isCurrent = steadyMs() - request.updatedAtMs < maxPendingMs;
            const batch = isCurrent ? chooseBatch(step, request) : [];
            if (batch.length > 0) {
                await ask(step, request, batch);
            }
            pending.delete(step);
            dropUnused();
            if (batch.length > 0) {
                opts.onChange();
            }
        }
        isRequesting = false;
    }

    async function ask(step: string, request: PendingRequest, batch: readonly AdviceCandidate[]): Promise<void> {
        const requestedAtMs = steadyMs();
        const result = await opts.advice.ask(step, batch.map(({ workerId }) => workerId));
        applyResult(step, batch, result, requestedAtMs);
        opts.report({
            kind: "advice",
            step,
            outcome: result.kind,
            candidates: request.candidates.length,
            asked: batch.length,
            permitted: result.kind === "permits" ? result.permits.length : 0,
            tookMs: Math.round(steadyMs() - requestedAtMs),
        });
        if (result.kind !== "permits") {
            await pause(retryMs);
        }
    }

    function applyResult(
        step: string,
        batch: readonly AdviceCandidate[],
        result: AdviceResult,
        requestedAtMs: number,
    ): void {
        switch (result.kind) {
            case "permits":
                batchLimit = Math.min(maxBatch, 2 * batchLimit);
                useStep(step).applyPermits(batch, { ...result, requestedAtMs, receivedAtMs: steadyMs() });
                return;
            case "noAnswer":
                // The service may take longer for each worker than declared.
                batchLimit = Math.max(1, Math.floor(batch.length / 2));
                useStep(step).recordUnanswered(batch);
                return;
            case "busy":
        }
    }

    return {
        allowedWorkers: (step, findBornMs) => useStep(step).listPermitted(findBornMs, steadyMs()),
        request(step, advice, candidates) {
            const request = { advice, candidates, updatedAtMs: steadyMs() };
            if (chooseBatch(step, request).length > 0) {
                pending.set(step, request);
                void requestPending();
            }
        },
        ticket: (step, workerId, bornMs) => steps.get(step)?.permits.findTicket(workerId, bornMs, steadyMs()),
    };
}
