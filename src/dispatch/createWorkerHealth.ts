/**
 * Whether a worker may be given work, judged by the results of this entry's tasks.
 *
 * - `active`: it gets work.
 * - `ejected`: it gets no work until `untilMs`.
 * - `probing`: it gets one repeatable task at a time until enough of them have succeeded.
 */
export type HealthState =
    | { readonly kind: "active"; }
    | { readonly kind: "ejected"; readonly untilMs: number; }
    | { readonly kind: "probing"; };

/** A worker was ejected or reinstated. */
export interface HealthChange {
    readonly kind: "ejected" | "reinstated";
    readonly instance: string;
    readonly pool: string;
    readonly reason: string;
    /** Length of the ejection, in milliseconds; 0 for a reinstatement. */
    readonly forMs: number;
}

export interface WorkerHealth {
    state(instance: string): HealthState;
    /** Share of the worker's recent tasks that failed, from 0 to 1; it decays while no task ends. */
    failureRate(instance: string): number;
    /** Records how one task ended; `slowness` is its run time divided by the expected one. */
    recordOutcome(
        instance: string,
        pool: string,
        poolSize: number,
        isOk: boolean,
        slowness: number,
    ): HealthChange | undefined;
}

/** Counts that decay by half in each `halfLifeMs`. */
interface DecayingCounts {
    ok: number;
    failed: number;
    /** Sum of the logarithms of slowness over the tasks that did not fail. */
    logSlowness: number;
    decayedAtMs: number;
}

interface TrackedWorker {
    readonly pool: string;
    readonly counts: DecayingCounts;
    state: HealthState;
    ejections: number;
    successfulProbes: number;
}

const halfLifeMs = 5000;
const minFailures = 3;
const minFailureRate = 0.5;
const minSamples = 5;
/** A worker that is this many times as slow as the others of its pool counts as failing. */
const slowFactor = 3;
const firstEjectionMs = 5000;
const maxEjectionMs = 60_000;
const successfulProbesNeeded = 3;
const maxEjectedShare = 0.3;

/**
 * Ejects workers that fail more or run far slower than the others of their pool, and probes them later (outlier
 * detection).
 *
 * A worker that fails every task at once is always free and would attract most of the pool's work. Callers would then
 * see most tasks fail although the other workers are healthy. A worker is compared with the rest of its pool, because a
 * task that fails everywhere is not the worker's fault. Only a share of a pool is ejected at a time, so that a wrong
 * decision can't disable the pool.
 */
export function createWorkerHealth(): WorkerHealth {
    const workers = new Map<string, TrackedWorker>();
    const pools = new Map<string, DecayingCounts>();

    function ensure(instance: string, pool: string): TrackedWorker {
        const known = workers.get(instance);
        if (known?.pool === pool) {
            return known;
        }
        const worker: TrackedWorker = {
            pool,
            counts: createCounts(),
            state: { kind: "active" },
            ejections: 0,
            successfulProbes: 0,
        };
        workers.set(instance, worker);
        return worker;
    }

    function state(instance: string): HealthState {
        const worker = workers.get(instance);
        if (worker?.state.kind === "ejected" && Date.now() >= worker.state.untilMs) {
            worker.state = { kind: "probing" };
            worker.successfulProbes = 0;
        }
        return worker?.state ?? { kind: "active" };
    }

    function mayEject(pool: string, poolSize: number): boolean {
        const notActiveCount =
            [...workers].filter(([name, worker]) => worker.pool === pool && state(name).kind !== "active").length;
        return poolSize >= 2 && notActiveCount + 1 <= Math.max(1, Math.floor(poolSize * maxEjectedShare));
    }

    function eject(worker: TrackedWorker, instance: string, reason: string): HealthChange {
        const forMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** worker.ejections);
        worker.ejections++;
        worker.state = { kind: "ejected", untilMs: Date.now() + forMs };
        return { kind: "ejected", instance, pool: worker.pool, reason, forMs };
    }

    function recordProbe(worker: TrackedWorker, instance: string, isSuccess: boolean): HealthChange | undefined {
        if (!isSuccess) {
            return eject(worker, instance, "failed a probe");
        }
        worker.successfulProbes++;
        if (worker.successfulProbes < successfulProbesNeeded) {
            return undefined;
        }
        worker.state = { kind: "active" };
        worker.ejections = 0;
        Object.assign(worker.counts, createCounts());
        return { kind: "reinstated", instance, pool: worker.pool, reason: "succeeded in its probes", forMs: 0 };
    }

    return {
        state,
        failureRate(instance) {
            const worker = workers.get(instance);
            if (worker === undefined) {
                return 0;
            }
            const { ok, failed } = decay(worker.counts);
            return failed / (ok + failed + 1);
        },
        recordOutcome(instance, pool, poolSize, isOk, slowness) {
            const worker = ensure(instance, pool);
            const poolCounts = pools.get(pool) ?? createCounts();
            pools.set(pool, poolCounts);
            const others = subtract(decay(poolCounts), decay(worker.counts));
            add(worker.counts, isOk, slowness);
            add(poolCounts, isOk, slowness);
            switch (state(instance).kind) {
                case "ejected":
                    return undefined;
                case "probing":
                    return recordProbe(worker, instance, isOk && !isSlow(worker.counts, others, 1));
                case "active": {
                    const reason = findEjectionReason(worker.counts, others);
                    return reason !== undefined && mayEject(pool, poolSize)
                        ? eject(worker, instance, reason)
                        : undefined;
                }
            }
        },
    };
}

function findEjectionReason(own: DecayingCounts, others: DecayingCounts): string | undefined {
    const rate = failedShare(own);
    if (own.failed >= minFailures * 0.9 && rate >= minFailureRate && rate >= 2 * failedShare(others)) {
        return `${Math.round(rate * 100)}% of its tasks failed, ${
            Math.round(failedShare(others) * 100)
        }% of those of the other workers`;
    }
    return isSlow(own, others, minSamples) ? "far slower than the other workers of its pool" : undefined;
}

function isSlow(own: DecayingCounts, others: DecayingCounts, samples: number): boolean {
    if (own.ok < samples * 0.9 || others.ok < minSamples) {
        return false;
    }
    return own.logSlowness / own.ok - others.logSlowness / others.ok > Math.log(slowFactor);
}

function createCounts(): DecayingCounts {
    return { ok: 0, failed: 0, logSlowness: 0, decayedAtMs: Date.now() };
}

function decay(recent: DecayingCounts): DecayingCounts {
    const nowMs = Date.now();
    const factor = 0.5 ** (Math.max(0, nowMs - recent.decayedAtMs) / halfLifeMs);
    recent.ok *= factor;
    recent.failed *= factor;
    recent.logSlowness *= factor;
    recent.decayedAtMs = nowMs;
    return recent;
}

function subtract(whole: DecayingCounts, part: DecayingCounts): DecayingCounts {
    return {
        ok: Math.max(0, whole.ok - part.ok),
        failed: Math.max(0, whole.failed - part.failed),
        logSlowness: whole.logSlowness - part.logSlowness,
        decayedAtMs: whole.decayedAtMs,
    };
}

function add(recent: DecayingCounts, isOk: boolean, slowness: number): void {
    decay(recent);
    if (isOk) {
        recent.ok++;
        recent.logSlowness += Math.log(Math.max(1e-6, slowness));
    }
    else {
        recent.failed++;
    }
}

function failedShare({ ok, failed }: DecayingCounts): number {
    return ok + failed === 0 ? 0 : failed / (ok + failed);
}
