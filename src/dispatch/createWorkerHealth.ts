/** Whether a worker may be given work, by what its own tasks came to. */
export type HealthState =
    | { readonly kind: "active"; }
    | { readonly kind: "ejected"; readonly untilMs: number; }
    | { readonly kind: "probing"; };

/** A worker was set aside, or taken back. */
export interface HealthChange {
    readonly kind: "ejected" | "reinstated";
    readonly instance: string;
    readonly pool: string;
    readonly reason: string;
    readonly forMs: number;
}

export interface WorkerHealth {
    state(instance: string): HealthState;
    /** Recent part of the worker's tasks that failed, from 0 to 1; it fades where there is nothing new. */
    failureRate(instance: string): number;
    /** Takes in how one task ended; `slowness` is its run time as a multiple of what was expected. */
    note(instance: string, pool: string, poolSize: number, isOk: boolean, slowness: number): HealthChange | undefined;
}

/** Counts that lose half their weight in `halfLifeMs`. */
interface Recent {
    ok: number;
    failed: number;
    /** Sum of the logarithms of slowness, over the tasks that did not fail. */
    logSlowness: number;
    atMs: number;
}

interface Entry {
    readonly pool: string;
    readonly recent: Recent;
    state: HealthState;
    ejections: number;
    goodProbes: number;
}

const halfLifeMs = 5000;
const minFailures = 3;
const minFailureRate = 0.5;
const minSamples = 5;
/** A worker this many times as slow as the others of its pool counts as failing. */
const slowFactor = 3;
const firstEjectionMs = 5000;
const maxEjectionMs = 60_000;
const goodProbesNeeded = 3;
const maxEjectedPart = 0.3;

/**
 * Sets workers aside that fail or lag behind the others of their pool, and tries them again later.
 *
 * A worker that fails all it starts is free again at once and would draw ever more work; its callers would see most of
 * the pool's work fail though the other workers are well. It is compared with the rest of its pool, because a job that
 * fails everywhere is no fault of the worker, and at most a part of a pool is set aside, because a wrong guess must not
 * cost the pool.
 */
export function createWorkerHealth(): WorkerHealth {
    const entries = new Map<string, Entry>();
    const pools = new Map<string, Recent>();

    function ensure(instance: string, pool: string): Entry {
        const known = entries.get(instance);
        if (known?.pool === pool) {
            return known;
        }
        const entry: Entry = {
            pool,
            recent: createRecent(),
            state: { kind: "active" },
            ejections: 0,
            goodProbes: 0,
        };
        entries.set(instance, entry);
        return entry;
    }

    function state(instance: string): HealthState {
        const entry = entries.get(instance);
        if (entry?.state.kind === "ejected" && Date.now() >= entry.state.untilMs) {
            entry.state = { kind: "probing" };
            entry.goodProbes = 0;
        }
        return entry?.state ?? { kind: "active" };
    }

    function mayEject(pool: string, poolSize: number): boolean {
        const aside =
            [...entries].filter(([name, entry]) => entry.pool === pool && state(name).kind !== "active").length;
        return poolSize >= 2 && aside + 1 <= Math.max(1, Math.floor(poolSize * maxEjectedPart));
    }

    function eject(entry: Entry, instance: string, reason: string): HealthChange {
        const forMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** entry.ejections);
        entry.ejections++;
        entry.state = { kind: "ejected", untilMs: Date.now() + forMs };
        return { kind: "ejected", instance, pool: entry.pool, reason, forMs };
    }

    function noteProbe(entry: Entry, instance: string, isGood: boolean): HealthChange | undefined {
        if (!isGood) {
            return eject(entry, instance, "failed when tried again");
        }
        entry.goodProbes++;
        if (entry.goodProbes < goodProbesNeeded) {
            return undefined;
        }
        entry.state = { kind: "active" };
        entry.ejections = 0;
        Object.assign(entry.recent, createRecent());
        return { kind: "reinstated", instance, pool: entry.pool, reason: "did well when tried again", forMs: 0 };
    }

    return {
        state,
        failureRate(instance) {
            const entry = entries.get(instance);
            if (entry === undefined) {
                return 0;
            }
            const { ok, failed } = decay(entry.recent);
            return failed / (ok + failed + 1);
        },
        note(instance, pool, poolSize, isOk, slowness) {
            const entry = ensure(instance, pool);
            const whole = pools.get(pool) ?? createRecent();
            pools.set(pool, whole);
            const others = subtract(decay(whole), decay(entry.recent));
            add(entry.recent, isOk, slowness);
            add(whole, isOk, slowness);
            switch (state(instance).kind) {
                case "ejected":
                    return undefined;
                case "probing":
                    return noteProbe(entry, instance, isOk && !isSlow(entry.recent, others, 1));
                case "active": {
                    const reason = findFault(entry.recent, others);
                    return reason !== undefined && mayEject(pool, poolSize)
                        ? eject(entry, instance, reason)
                        : undefined;
                }
            }
        },
    };
}

function findFault(own: Recent, others: Recent): string | undefined {
    const rate = failedPart(own);
    if (own.failed >= minFailures * 0.9 && rate >= minFailureRate && rate >= 2 * failedPart(others)) {
        return `${Math.round(rate * 100)}% of its tasks failed, ${
            Math.round(failedPart(others) * 100)
        }% of the others'`;
    }
    return isSlow(own, others, minSamples) ? "far slower than the others of its pool" : undefined;
}

function isSlow(own: Recent, others: Recent, samples: number): boolean {
    if (own.ok < samples * 0.9 || others.ok < minSamples) {
        return false;
    }
    return own.logSlowness / own.ok - others.logSlowness / others.ok > Math.log(slowFactor);
}

function createRecent(): Recent {
    return { ok: 0, failed: 0, logSlowness: 0, atMs: Date.now() };
}

function decay(recent: Recent): Recent {
    const nowMs = Date.now();
    const factor = 0.5 ** (Math.max(0, nowMs - recent.atMs) / halfLifeMs);
    recent.ok *= factor;
    recent.failed *= factor;
    recent.logSlowness *= factor;
    recent.atMs = nowMs;
    return recent;
}

function subtract(whole: Recent, part: Recent): Recent {
    return {
        ok: Math.max(0, whole.ok - part.ok),
        failed: Math.max(0, whole.failed - part.failed),
        logSlowness: whole.logSlowness - part.logSlowness,
        atMs: whole.atMs,
    };
}

function add(recent: Recent, isOk: boolean, slowness: number): void {
    decay(recent);
    if (isOk) {
        recent.ok++;
        recent.logSlowness += Math.log(Math.max(1e-6, slowness));
    }
    else {
        recent.failed++;
    }
}

function failedPart({ ok, failed }: Recent): number {
    return ok + failed === 0 ? 0 : failed / (ok + failed);
}
