import type { AdviceConfig } from "../policy";
import type { Permit } from "./adviceClient";

/** A worker that could run a step, apart from permits. */
export interface AdviceCandidate {
    readonly workerId: string;
    /** Start of the worker's incarnation, in milliseconds since 1970. A ticket ends with its incarnation. */
    readonly bornMs: number;
    readonly hasFreeCapacity: boolean;
}

/** What the advice service has answered about a step. */
export interface StepPermits {
    /**
     * Ids of the workers with a ticket that is valid now.
     *
     * @param findBornMs start of the present incarnation of a worker
     */
    listPermitted(findBornMs: (workerId: string) => number | undefined, nowMs: number): ReadonlySet<string>;
    /** The ticket for a start on an incarnation of a worker; `undefined`: no valid one is known. */
    findTicket(workerId: string, bornMs: number, nowMs: number): string | undefined;
    /** Chooses the candidates to ask about next; empty if another answer would not help. */
    chooseBatch(candidates: readonly AdviceCandidate[], request: BatchRequest): readonly AdviceCandidate[];
    applyPermits(batch: readonly AdviceCandidate[], answer: PermitAnswer): void;
    /** Moves candidates without an answer behind those that have not been asked about. */
    recordUnanswered(batch: readonly AdviceCandidate[]): void;
}

export interface BatchRequest {
    readonly advice: AdviceConfig;
    readonly maxWorkers: number;
    readonly nowMs: number;
}

export interface PermitAnswer {
    readonly permits: readonly Permit[];
    readonly validityMs: number;
    readonly requestedAtMs: number;
    readonly receivedAtMs: number;
}

interface KnownWorker {
    readonly bornMs: number;
    /** `undefined`: no answer about this incarnation has arrived. */
    isPermitted: boolean | undefined;
    ticket: string;
    validUntilMs: number;
    unansweredRequests: number;
}

/** Longest time before its expiry at which a ticket is no longer used, in milliseconds, so that the start arrives in time. */
const maxExpiryMarginMs = 500;

/** The same as a share of the validity, for tickets of short validity. */
const expiryMarginShare = 0.25;

/**
 * Keeps what is known of a step. Which workers may run a step doesn't change, so a worker is asked about until there is an
 * answer, and again only to replace the expired ticket of a permitted worker.
 */
export function createStepPermits(): StepPermits {
    const known = new Map<string, KnownWorker>();

    function find(workerId: string, bornMs: number): KnownWorker | undefined {
        const worker = known.get(workerId);
        return worker?.bornMs === bornMs ? worker : undefined;
    }

    function hasValidTicket(worker: KnownWorker | undefined, nowMs: number): boolean {
        return worker?.isPermitted === true && nowMs < worker.validUntilMs;
    }

    function add({ workerId, bornMs }: AdviceCandidate): KnownWorker {
        const worker = find(workerId, bornMs)
            ?? { bornMs, isPermitted: undefined, ticket: "", validUntilMs: 0, unansweredRequests: 0 };
        known.set(workerId, worker);
        return worker;
    }

    return {
        listPermitted(findBornMs, nowMs) {
            const permitted = new Set<string>();
            for (const [workerId, worker] of known) {
                if (hasValidTicket(worker, nowMs) && findBornMs(workerId) === worker.bornMs) {
                    permitted.add(workerId);
                }
            }
            return permitted;
        },
        findTicket(workerId, bornMs, nowMs) {
            const worker = find(workerId, bornMs);
            return worker !== undefined && hasValidTicket(worker, nowMs) ? worker.ticket : undefined;
        },
        chooseBatch(candidates, { advice, maxWorkers, nowMs }) {
            const withState = candidates.map((candidate) => ({
                candidate,
                worker: find(candidate.workerId, candidate.bornMs),
            }));
            const permitted = withState.filter(({ worker }) => worker?.isPermitted === true);
            const expired = permitted.filter(({ worker }) => !hasValidTicket(worker, nowMs));
            const unknown = withState.filter(({ worker }) => worker?.isPermitted === undefined)
                .sort((a, b) => (a.worker?.unansweredRequests ?? 0) - (b.worker?.unansweredRequests ?? 0));
            const [freeExpired, fullExpired] = splitByCapacity(expired);
            const [freeUnknown, fullUnknown] = splitByCapacity(unknown);
            const size = freeExpired.length > 0
                ? Math.min(maxWorkers, countInTime(advice, advice.validityMs - expiryMarginMs(advice.validityMs)))
                : maxWorkers;
            return [
                ...freeExpired,
                ...freeUnknown,
                ...fullExpired,
                // A worker without free capacity helps later only, and not where another permitted one is known.
                ...permitted.length === 0 ? fullUnknown : [],
            ].slice(0, size).map(({ candidate }) => candidate);
        },
        applyPermits(batch, { permits, validityMs, requestedAtMs, receivedAtMs }) {
            const tickets = new Map(permits.map(({ workerId, ticket }) => [workerId, ticket]));
            const marginMs = expiryMarginMs(validityMs);
            for (const candidate of batch) {
                const worker = add(candidate);
                const ticket = tickets.get(candidate.workerId);
                worker.isPermitted = ticket !== undefined;
                worker.ticket = ticket ?? "";
                // The validity may count from the request or from the decision. Counted from the request, a slow decision
                // would leave no time in which the ticket is used; a start with an expired one is merely rejected.
                worker.validUntilMs = Math.max(requestedAtMs + validityMs - marginMs, receivedAtMs + marginMs);
            }
        },
        recordUnanswered(batch) {
            batch.map(add).forEach((worker) => worker.unansweredRequests++);
        },
    };
}

function expiryMarginMs(validityMs: number): number {
    return Math.min(maxExpiryMarginMs, validityMs * expiryMarginShare);
}

/** Number of workers that the service decides on within a time, at least 1. */
export function countInTime({ decisionMs, perWorkerMs }: AdviceConfig, timeMs: number): number {
    return Math.max(1, Math.floor((timeMs - decisionMs) / Math.max(1, perWorkerMs)));
}

function splitByCapacity<T extends { readonly candidate: AdviceCandidate; }>(
    workers: readonly T[],
): readonly [readonly T[], readonly T[]] {
    return [
        workers.filter(({ candidate }) => candidate.hasFreeCapacity),
        workers.filter(({ candidate }) => !candidate.hasFreeCapacity),
    ];
}
