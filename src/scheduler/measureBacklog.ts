import type { PoolBacklog } from "../admission";
import type { IdleMachine, PoolDemand } from "../machines";
import type { Policy } from "../policy";
import {
    type AccountLimits,
    type DurationEstimates,
    estimateRemaining,
    groupByPool,
    isWithinTenantLimit,
    queueOf,
    type SchedulerState,
    type SubmissionEntry,
    targetAgeMs,
    waitingCpuMillis,
    type Worker,
} from "../schedule";
import { sumPoolUsage } from "./sumPoolUsage";

export interface BacklogOptions {
    readonly state: SchedulerState;
    readonly policy: Policy;
    /** Limit of a client account; `undefined`: none is known. */
    readonly capOf: AccountLimits["capOf"];
    readonly estimates: DurationEstimates;
    /** The latest measured demand of all pools. */
    readonly demand: readonly PoolDemand[];
    readonly idle: readonly IdleMachine[];
    /** Whether a submission was accepted beyond the rate of its account. */
    readonly isExcess: (entry: SubmissionEntry) => boolean;
    readonly nowMs: number;
    readonly timeOfDayMs: number;
}

/** Measures, for each pool with waiting work, what a new excess submission would wait for. */
export function measureBacklog(opts: BacklogOptions): readonly PoolBacklog[] {
    const waiting = opts.demand.filter((pool) => !pool.isStandby && pool.waitingCpuMillis > 0);
    if (waiting.length === 0) {
        return [];
    }
    const entries = groupEntriesBefore(opts);
    const workers = groupByPool(opts.state);
    return waiting.map((demand) =>
        measurePool(demand, entries.get(demand.pool) ?? [], workers.get(demand.pool) ?? [], opts)
    );
}

function measurePool(
    { pool, waitingCpuMillis: allWaitingCpuMillis, comingCpuMillis }: PoolDemand,
    entries: readonly SubmissionEntry[],
    workers: readonly Worker[],
    opts: BacklogOptions,
): PoolBacklog {
    // Also counts workers whose run list this leader has not read yet: after a change of leader the pool would look
    // smaller than it is.
    const usage = sumPoolUsage(
        workers.filter(({ isRegistered, isDraining, isReserved, isEvacuated }) =>
            isRegistered && !isDraining && !isReserved && !isEvacuated
        ),
    );
    const capacityCpuMillis = usage.cpuMillis - usage.longRunningCpuMillis + comingCpuMillis
        + obtainableCpuMillis(pool, opts);
    const freeCpuMillis = capacityCpuMillis - usage.shortCpuMillis;
    return {
        pool,
        workCoreMs: entries.reduce(
            (sum, entry) => sum + estimateRemaining(entry, opts.estimates, opts.nowMs).workCoreMs,
            0,
        ),
        waitingCpuMillis: allWaitingCpuMillis,
        capacityCpuMillis,
        freeCpuMillis,
        hasCapacityLeft: !isWaitingAtLeast(entries, freeCpuMillis),
    };
}

/**
 * Whether the ready tasks of submissions wait for at least this many processors. Counts only until that is certain:
 * going over all tasks of a long backlog took a quarter of a leader's time.
 */
function isWaitingAtLeast(entries: readonly SubmissionEntry[], cpuMillis: number): boolean {
    let sum = 0;
    return entries.some((entry) => {
        sum += waitingCpuMillis(entry);
        return sum > 0 && sum >= cpuMillis;
    });
}

/** Processors of the machines that could join the pool: idle ones of pools without waiting work, and standby machines. */
function obtainableCpuMillis(pool: string, { idle, demand }: BacklogOptions): number {
    const givers = new Set(
        demand.filter(({ isStandby, waitingCpuMillis: waiting }) => isStandby || waiting === 0).map((giver) =>
            giver.pool
        ),
    );
    return idle.filter((machine) => machine.pool !== pool && givers.has(machine.pool) && !machine.isEvacuated)
        .reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
}

function groupEntriesBefore(opts: BacklogOptions): ReadonlyMap<string, readonly SubmissionEntry[]> {
    const pools = new Map<string, SubmissionEntry[]>();
    const poolsByRoute = new Map<string, string>();
    for (const entry of opts.state.submissions.values()) {
        if (ranksBeforeNewExcess(entry, opts) && !isHeldByLimit(entry, opts)) {
            const { route } = entry.submission;
            const pool = poolsByRoute.get(route) ?? queueOf(opts.policy, entry.submission).service;
            poolsByRoute.set(route, pool);
            const entries = pools.get(pool);
            if (entries === undefined) {
                pools.set(pool, [entry]);
            }
            else {
                entries.push(entry);
            }
        }
    }
    return pools;
}

/** A new excess submission is in time, so it ranks after conforming submissions and among excess ones in time. */
function ranksBeforeNewExcess(entry: SubmissionEntry, opts: BacklogOptions): boolean {
    const { submission } = entry;
    const isOpen = entry.finalState === undefined && !entry.isCancelled;
    if (!isOpen || submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        return false;
    }
    if (!opts.isExcess(entry)) {
        return true;
    }
    const remaining = estimateRemaining(entry, opts.estimates, opts.nowMs);
    const ageMs = opts.timeOfDayMs - submission.acceptedAtMs;
    return ageMs + remaining.criticalPathMs <= targetAgeMs(queueOf(opts.policy, submission), remaining);
}

/** Whether the submission waits because its account may use no more; it then takes no processors from others. */
function isHeldByLimit(
    { submission: { tenant, steps } }: SubmissionEntry,
    { capOf, state }: BacklogOptions,
): boolean {
    const cap = capOf(tenant);
    return cap !== undefined && steps.every(({ size }) => !isWithinTenantLimit(state, tenant, cap, size));
}
