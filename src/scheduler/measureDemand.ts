import { type DemandMeter, forecastNeedCpuMillis, minMissingShare, type PoolDemand } from "../machines";
import type { Policy } from "../policy";
import {
    acceptsNewWork,
    desiredCpuMillis,
    type DurationEstimates,
    estimateRemaining,
    findObstacle,
    groupByPool,
    type Host,
    queueOf,
    type SchedulerState,
    type SubmissionEntry,
    targetAgeMs,
    waitingCpuMillis,
    type Worker,
} from "../schedule";
import type { Step } from "../submissions";
import { demandKeyOf, sumUnplaceableCpuMillis, unplaceableLongRunningCpuMillis } from "./findUnplaceable";
import { measureStartable } from "./measureStartable";
import { sumPoolUsage } from "./sumPoolUsage";

export interface DemandOptions {
    readonly state: SchedulerState;
    readonly policy: Policy;
    readonly estimates: DurationEstimates;
    readonly meter: DemandMeter;
    readonly nowMs: number;
    /** Cores of the machines that are moving to a pool, in thousandths. */
    readonly comingCpuMillis: (pool: string) => number;
    readonly timeOfDayMs: number;
    /** Time from the decision to move a machine until it takes work, in milliseconds. */
    readonly joinMs: number;
    /** All workers and machines of the fleet. What none of them could run is no demand for machines. */
    readonly hosts: readonly Host[];
}

/**
 * Number of submissions for whose first tasks a pool with low load keeps capacity. A busy period begins with several
 * short submissions within a tenth of a second, and they are late if they wait for a machine to join.
 */
const reservedSubmissions = 3;

/** Demand of a pool's open submissions. Cores in thousandths. */
interface OpenWork {
    /** Cores that submissions without long-running steps should get. */
    cpuMillis: number;
    /** Remaining work of submissions without long-running steps, in core-milliseconds. */
    coreMs: number;
    /** The part of `cpuMillis` that belongs to submissions within the rate of their account. */
    conformingCpuMillis: number;
    /** The same part of `coreMs`. */
    conformingCoreMs: number;
    /** Cores that ready tasks wait for. */
    waitingCpuMillis: number;
    /** The part of `waitingCpuMillis` that belongs to submissions with long-running steps. */
    waitingLongRunningCpuMillis: number;
    /** Submissions with waiting tasks. */
    readonly waitingSubmissions: SubmissionEntry[];
}

/** Measures the demand and the capacity of each pool. */
export function measureDemand(demandOptions: DemandOptions): readonly PoolDemand[] {
    const opts = { ...demandOptions, isRunnable: createRunnableCheck(demandOptions.hosts) };
    const pools = groupByPool(opts.state);
    const open = sumOpenWork(opts);
    return [...opts.policy.pools.values()].map(({ name, isStandby }) =>
        measurePool(name, isStandby, pools.get(name) ?? [], open.get(name) ?? createOpenWork(), opts)
    );
}

interface MeasureOptions extends DemandOptions {
    /** Whether some worker or machine of the fleet could run a step. */
    readonly isRunnable: (step: Step) => boolean;
}

function createRunnableCheck(hosts: readonly Host[]): (step: Step) => boolean {
    const known = new Map<string, boolean>();
    return (step) => {
        const key = demandKeyOf(step);
        const isRunnable = known.get(key) ?? findObstacle(step, hosts) === undefined;
        known.set(key, isRunnable);
        return isRunnable;
    };
}

function measurePool(
    pool: string,
    isStandby: boolean,
    workers: readonly Worker[],
    open: OpenWork,
    opts: MeasureOptions,
): PoolDemand {
    const { meter, nowMs, joinMs } = opts;
    const usage = sumPoolUsage(workers.filter(acceptsNewWork));
    const availableCpuMillis = usage.cpuMillis - usage.longRunningCpuMillis;
    const comingCpuMillis = opts.comingCpuMillis(pool);
    const arrivingCpuMillis = meter.forecastArrivingCpuMillis(pool, nowMs);
    const forecast = { capacityCpuMillis: availableCpuMillis, comingCpuMillis, joinMs };
    const shortTaskCpuMillis = forecastNeedCpuMillis({
        ...forecast,
        openCpuMillis: open.cpuMillis,
        openCoreMs: open.coreMs,
        arrivingCpuMillis,
    });
    // What arrives is assumed to be conforming in the proportion of what is open.
    const conformingShare = open.cpuMillis > 0 ? open.conformingCpuMillis / open.cpuMillis : 1;
    const conformingCpuMillis = forecastNeedCpuMillis({
        ...forecast,
        openCpuMillis: open.conformingCpuMillis,
        openCoreMs: open.conformingCoreMs,
        arrivingCpuMillis: arrivingCpuMillis * conformingShare,
    });
    const longRunningCpuMillis = open.waitingLongRunningCpuMillis + replacementCpuMillis(workers);
    const neededCpuMillis = shortTaskCpuMillis + longRunningCpuMillis;
    // With a shortage this large, a machine is moved to the pool in any case. If no worker of the pool takes work, the
    // size of its machines is unknown. If such a pool counted as short, its tasks would not be checked for being
    // unplaceable, and a small task could wait for eleven seconds without a machine on its way.
    const isShort = usage.workers > 0
        && neededCpuMillis - availableCpuMillis >= minMissingShare * usage.largestCpuMillis;
    const unplaceable = isShort
        ? 0
        : sumUnplaceableCpuMillis(open.waitingSubmissions, { workers, nowMs, isRunnable: opts.isRunnable });
    return {
        pool,
        isStandby,
        waitingCpuMillis: open.waitingCpuMillis,
        unplaceableCpuMillis: unplaceable + unplaceableLongRunningCpuMillis(workers, nowMs),
        neededCpuMillis,
        conformingNeedCpuMillis: conformingCpuMillis + longRunningCpuMillis,
        usedCpuMillis: usage.shortCpuMillis,
        startableCpuMillis: Math.min(
            open.waitingCpuMillis,
            measureStartable(open.waitingSubmissions, workers, nowMs),
        ),
        machineCpuMillis: usage.largestCpuMillis,
        capacityCpuMillis: availableCpuMillis,
        comingCpuMillis,
        reserveCpuMillis: reservedSubmissions * meter.meanSubmissionCpuMillis(pool),
        machineCount:
            workers.filter(({ isRegistered, isReserved, isEvacuated }) => isRegistered && !isReserved && !isEvacuated)
                .length,
    };
}

function createOpenWork(): OpenWork {
    return {
        cpuMillis: 0,
        coreMs: 0,
        conformingCpuMillis: 0,
        conformingCoreMs: 0,
        waitingCpuMillis: 0,
        waitingLongRunningCpuMillis: 0,
        waitingSubmissions: [],
    };
}

function sumOpenWork(opts: MeasureOptions): ReadonlyMap<string, OpenWork> {
    const pools = new Map<string, OpenWork>();
    for (const entry of opts.state.submissions.values()) {
        if (entry.finalState === undefined) {
            const { service } = queueOf(opts.policy, entry.submission);
            const open = pools.get(service) ?? createOpenWork();
            pools.set(service, open);
            addOpenWork(open, entry, opts);
        }
    }
    return pools;
}

function addOpenWork(open: OpenWork, entry: SubmissionEntry, opts: MeasureOptions): void {
    const { submission } = entry;
    if (!submission.steps.some(opts.isRunnable)) {
        return;
    }
    const cpuMillis = waitingCpuMillis(entry, opts.isRunnable);
    open.waitingCpuMillis += cpuMillis;
    if (cpuMillis > 0) {
        open.waitingSubmissions.push(entry);
    }
    if (submission.steps.some(({ isLongRunning }) => isLongRunning)) {
        open.waitingLongRunningCpuMillis += cpuMillis;
        return;
    }
    const remaining = estimateRemaining(entry, opts.estimates, opts.nowMs);
    const deadlineAgeMs = targetAgeMs(queueOf(opts.policy, submission), remaining);
    const desired = desiredCpuMillis(remaining, deadlineAgeMs, opts.timeOfDayMs - submission.acceptedAtMs);
    open.cpuMillis += desired;
    open.coreMs += remaining.workCoreMs;
    if (!entry.isExcess) {
        open.conformingCpuMillis += desired;
        open.conformingCoreMs += remaining.workCoreMs;
    }
}

/**
 * Returns the cores of long-running tasks on workers that are draining or being emptied, in thousandths. These tasks
 * will be restarted in their pool. If the pool's only machine is due for maintenance, no other machine can take them.
 * Without a second machine on its way, the maintenance would be late or the tasks unavailable for its whole duration.
 */
function replacementCpuMillis(workers: readonly Worker[]): number {
    const leavingWorkers = workers.filter(({ isRegistered, isDraining, isReserved }) =>
        isRegistered && (isDraining || isReserved)
    );
    return sumPoolUsage(leavingWorkers).longRunningCpuMillis;
}
