import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { AdviceClient, AdviceResult } from "./adviceClient";

export interface PermitCacheOptions {
    readonly advice: AdviceClient;
    readonly steadyMs: () => number;
    readonly report: Reporter;
    /** Called when new permits have arrived. */
    onChange(): void;
}

export interface PermitCache {
    /**
     * Returns the ids of the workers that may run a step now. Returns `undefined` while no valid permits are known, and
     * then requests them.
     *
     * @param candidates ids of the workers that could run the step apart from permits
     */
    allowedWorkers(step: string, candidates: readonly string[]): ReadonlySet<string> | undefined;
    /** Returns the ticket for a start, or `undefined` if no valid one is known. */
    ticket(step: string, workerId: string): string | undefined;
    /** Drops the permits of a finished step. */
    forgetStep(step: string): void;
}

/** Workers named in one request. Each worker costs time, and a step rarely needs more. */
const maxCandidates = 30;

/** A permit is used only if it stays valid for at least this long, in milliseconds, so that the start arrives in time. */
const validityMarginMs = 500;

/** Pause after a request that was rejected or got no answer, in milliseconds. */
const retryMs = 200;

interface StepPermits {
    readonly tickets: ReadonlyMap<string, string>;
    readonly validUntilMs: number;
}

/**
 * Requests permits one at a time, because the service answers requests one after another. Caches permits while they are
 * valid.
 */
export function createPermitCache(opts: PermitCacheOptions): PermitCache {
    const permitsByStep = new Map<string, StepPermits>();
    const candidatesByStep = new Map<string, readonly string[]>();
    let isRequesting = false;

    async function requestPending(): Promise<void> {
        if (isRequesting) {
            return;
        }
        isRequesting = true;
        for (let next = candidatesByStep.entries().next(); !next.done; next = candidatesByStep.entries().next()) {
            const [step, candidates] = next.value;
            const requestedAtMs = opts.steadyMs();
            const result = await opts.advice.ask(step, candidates);
            handleResult(step, result, requestedAtMs);
            if (result.kind !== "permits") {
                await pause(retryMs);
            }
        }
        isRequesting = false;
    }

    function handleResult(step: string, result: AdviceResult, requestedAtMs: number): void {
        candidatesByStep.delete(step);
        opts.report({ kind: "note", slice: "advice", message: result.kind, detail: step });
        if (result.kind === "permits") {
            const tickets = new Map(result.permits.map(({ workerId, ticket }) => [workerId, ticket]));
            permitsByStep.set(step, { tickets, validUntilMs: requestedAtMs + result.validityMs - validityMarginMs });
            opts.onChange();
        }
    }

    function findValid(step: string): StepPermits | undefined {
        const permits = permitsByStep.get(step);
        return permits !== undefined && opts.steadyMs() < permits.validUntilMs ? permits : undefined;
    }

    return {
        allowedWorkers(step, candidates) {
            const permits = findValid(step);
            if (permits === undefined && candidates.length > 0 && !candidatesByStep.has(step)) {
                candidatesByStep.set(step, candidates.slice(0, maxCandidates));
                void requestPending();
            }
            return permits === undefined ? undefined : new Set(permits.tickets.keys());
        },
        ticket: (step, workerId) => findValid(step)?.tickets.get(workerId),
        forgetStep: (step) => void permitsByStep.delete(step),
    };
}
