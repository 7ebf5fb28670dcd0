import { type AdviceClient, createPermitCache } from "../advice";
import { type Clocks, pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import { createDemandMeter, createMachineOrders, type MachineApi } from "../machines";
import type { Policy, Wave } from "../policy";
import { createProgressWriter, decodeProgress, progressKey, progressPrefix } from "../progress";
import {
    applyEnd,
    collectDropEvidence,
    createRunControl,
    createStartWindow,
    createWorkerPolling,
    DropCause,
    type WorkerApi,
} from "../runs";
import {
    addDueOccurrences,
    createDurationEstimates,
    createSchedulerState,
    removeRun,
    removeWorker,
    type Run,
    type SubmissionEntry,
    type Worker,
} from "../schedule";
import { createPrefixWatcher, maxCommitOperations, type Store } from "../store";
import { submissionKey, submissionPrefix, type SubmissionState } from "../submissions";
import { createFleetController } from "./createFleetController";
import { createPacer } from "./createPacer";
import { adviceStepName, createPlanner } from "./createPlanner";
import { createSubmissionTracker } from "./createSubmissionTracker";
import { createWatchdog } from "./createWatchdog";
import { createWorkerTracker } from "./createWorkerTracker";
import type { WorkerDecoder } from "./workerRegistration";

/** Limits and durations of the platform that the scheduler's decisions depend on. */
export interface SchedulerBounds {
    /** Longest lease that a worker grants, in milliseconds. */
    readonly maxLeaseMs: number;
    /** How long finished submissions can be queried, in milliseconds. */
    readonly keepFinishedMs: number;
    /** Minimum time between orders of two different leaders for one machine, in milliseconds. */
    readonly minMachineHandoverMs: number;
    /** How long the maintenance of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** How long a machine takes to change its pool, in milliseconds. */
    readonly moveMs: number;
    /** Machine orders that the platform accepts per second, over all entries. */
    readonly machineOrdersPerSecond: number;
    /** Longest time that a worker takes to stop a task, in milliseconds. */
    readonly maxStopMs: number;
}

export interface SchedulerOptions {
    readonly store: Store;
    readonly workerApi: WorkerApi;
    readonly machines: MachineApi;
    readonly advice: AdviceClient;
    readonly decoder: WorkerDecoder;
    readonly tenure: Tenure;
    readonly holder: string;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly bounds: SchedulerBounds;
    readonly policy: () => Policy | undefined;
    readonly waves: () => readonly Wave[];
    readonly evacuatedZones: () => ReadonlySet<string>;
    /**
     * Whether the operators' policy is recent enough to start tasks. If it is stale, a newer evacuation may be unknown.
     */
    readonly isPolicyFresh: () => boolean;
    /** Writes the state of a wave for the operators. Resolves to `false` if it is not in the store. */
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    /** Called when a request was refused because of a lower fencing token, or when the leader key has another holder. */
    onFenced(): void;
}

/** The work of the scheduling leader during one tenure. */
export interface Scheduler {
    /** Loads the recorded state, then starts to decide. */
    start(): Promise<void>;
    /** Stops all decisions and requests. Running tasks continue under their leases. */
    stop(): void;
    /** Returns `undefined` for an unknown submission, and for all until the state of earlier leaders has been read. */
    findState(id: string): SubmissionState | undefined;
    /** Returns `undefined` until the state of earlier leaders has been read. */
    countPending(route: string): number | undefined;
    /** Applies the zones under evacuation and plans again. */
    policyChanged(): void;
}

/**
 * Pause that batches changes of submissions, in milliseconds. It saves a call for each change and delays it by at most
 * 25 ms.
 */
const submissionBatchMs = 25;

/**
 * Pause that batches changes of worker registrations, in milliseconds. Each worker writes about every second. A relevant
 * change, such as a new worker or a drain, may wait this long.
 */
const workerBatchMs = 100;

/** Long poll timeout of watches, in milliseconds. A silent connection is detected within this time. */
const watchTimeoutMs = 2000;

/** Interval of checks that depend on time alone, in milliseconds. */
const tickIntervalMs = 100;

/** Pause before the state of earlier leaders is read again, in milliseconds. */
const loadRetryMs = 100;

/**
 * Time that a machine needs to take work in addition to the move itself, in milliseconds: the next decision on moves, the
 * order, the worker's registration in the store and its first run list.
 */
const joinOverheadMs = 250;

/** Schedules tasks and machines of all pools while the tenure lasts. */
export function createScheduler(opts: SchedulerOptions): Scheduler {
    const { store, tenure, clocks, report } = opts;
    const state = createSchedulerState();
    const estimates = createDurationEstimates();
    const joinMs = opts.bounds.moveMs + joinOverheadMs;
    const meter = createDemandMeter(joinMs);
    const startedAtMs = clocks.monotonicMs();
    let isStopped = false;
    let isLoaded = false;
    let timer: NodeJS.Timeout | undefined;

    function onFenced(): void {
        if (!isStopped) {
            opts.onFenced();
        }
    }

    function drop(run: Run, cause: DropCause, reason: string): void {
        const { task, worker, number } = run;
        const nowMs = clocks.monotonicMs();
        const evidence = collectDropEvidence(worker, startedAtMs, nowMs);
        report({ kind: "runDropped", task: task.name, run: number, worker: worker.id, cause, reason, ...evidence });
        if (cause !== DropCause.notOrdered) {
            task.droppedRuns.add(number);
        }
        removeRun(state, run, nowMs);
        submissionTracker.forgetIfOver(task.entry);
        planner.planSoon();
    }

    function handleIncarnationEnded(worker: Worker, reason: string): void {
        report({ kind: "workerEnded", worker: worker.id, pool: worker.pool, runs: worker.runs.size, reason });
        worker.isRegistered = false;
        worker.strayRunCount = 0;
        [...worker.runs].forEach((run) => drop(run, DropCause.lifeEnded, reason));
        removeWorker(state, worker);
    }

    const progressWriter = createProgressWriter({
        store,
        tenure,
        report,
        onFenced,
        onEnded: (entry) => submissionTracker.handleFinalStored(entry),
        onCancelled: (entry) => submissionTracker.cancel(entry),
    });
    const startWindow = createStartWindow(clocks.monotonicMs);
    const runControl = createRunControl({
        api: opts.workerApi,
        tenure,
        clocks,
        report,
        drop,
        onFenced,
        onIncarnationEnded: handleIncarnationEnded,
        pollNow: (worker) => polling.pollNow(worker),
        findTicket: ({ task, worker }) => permitCache.ticket(adviceStepName(task), worker.id),
        onStartAnswered: startWindow.recordAnswer,
        onChange: () => planner.planSoon(),
    });
    const polling = createWorkerPolling({
        api: opts.workerApi,
        tenure,
        clocks,
        state,
        report,
        maxLeaseMs: opts.bounds.maxLeaseMs,
        applyEnd: (worker, end) =>
            applyEnd(worker, end, {
                state,
                policy: opts.policy(),
                estimates,
                nowMs: clocks.monotonicMs(),
                stop: runControl.stop,
            }),
        async save(entry) {
            submissionTracker.settle(entry);
            return submissionTracker.hasEnded(entry) || await progressWriter.save(entry);
        },
        drop,
        sendStops: runControl.sendStops,
        onFenced,
        onIncarnationEnded: handleIncarnationEnded,
        onOtherIncarnation: (worker, bornMs) => workerTracker.handleOtherIncarnation(worker, bornMs),
        onListed(worker) {
            pacer.adjust(worker);
            watchdog.check(worker);
        },
        onChange: () => planner.planSoon(),
    });
    const permitCache = createPermitCache({
        advice: opts.advice,
        steadyMs: clocks.monotonicMs,
        report,
        onChange: () => planner.planSoon(),
    });
    const workerTracker = createWorkerTracker({
        state,
        decoder: opts.decoder,
        report,
        steadyMs: clocks.monotonicMs,
        onIncarnationEnded: handleIncarnationEnded,
        hasPendingOrder: (worker) => fleetController.hasPendingOrder(worker),
        evacuatedZones: opts.evacuatedZones,
        ensurePolling: polling.ensurePolling,
    });
    const submissionTracker = createSubmissionTracker({
        state,
        estimates,
        meter,
        report,
        steadyMs: clocks.monotonicMs,
        stop: runControl.stop,
        findWorker: (id, bornMs) => workerTracker.findRecorded(id, bornMs),
        save: (entry) => void progressWriter.save(entry),
    });
    const planner = createPlanner({
        state,
        estimates,
        tenure,
        steadyMs: clocks.monotonicMs,
        policy: () => opts.isPolicyFresh() ? opts.policy() : undefined,
        permits: permitCache,
        window: startWindow,
        startAll: (entry, group) => void startAll(entry, group),
    });
    const pacer = createPacer({ api: opts.workerApi, tenure, clocks });
    const watchdog = createWatchdog({ state, clocks, estimates, report, stop: runControl.stop });
    const orders = createMachineOrders({
        store,
        machines: opts.machines,
        tenure,
        orderer: { holder: opts.holder, token: tenure.token },
        report,
        minHandoverMs: opts.bounds.minMachineHandoverMs,
    });
    const fleetController = createFleetController({
        state,
        clocks,
        report,
        tenure,
        machines: opts.machines,
        orders,
        meter,
        estimates,
        joinMs,
        policy: opts.policy,
        waves: opts.waves,
        evacuatedZones: opts.evacuatedZones,
        maintenanceMs: opts.bounds.maintenanceMs,
        maxStopMs: opts.bounds.maxStopMs,
        ordersPerSecond: opts.bounds.machineOrdersPerSecond,
        reportWave: opts.reportWave,
        stop: runControl.interrupt,
        pollNow: polling.pollNow,
        onIncarnationEnded: handleIncarnationEnded,
        onChange: () => planner.planSoon(),
    });

    async function startAll(entry: SubmissionEntry, group: readonly Run[]): Promise<void> {
        if (!await progressWriter.save(entry)) {
            return;
        }
        for (const run of group) {
            if (run.worker.runs.has(run)) {
                entry.hasStarted = true;
                void runControl.start(run);
                polling.ensurePolling(run.worker);
            }
        }
    }

    function markEvacuated(): void {
        const zones = opts.evacuatedZones();
        for (const worker of state.workers.values()) {
            worker.isEvacuated = zones.has(worker.zone);
        }
    }

    function tick(): void {
        const nowMs = clocks.monotonicMs();
        for (const entry of state.submissions.values()) {
            addDueOccurrences(entry, Date.now(), nowMs);
        }
        for (const worker of state.workers.values()) {
            polling.ensurePolling(worker);
            if (!worker.isRegistered && worker.runs.size === 0) {
                removeWorker(state, worker);
            }
        }
        watchdog.tick();
        removeExpiredSubmissions();
        planner.planSoon();
    }

    function removeExpiredSubmissions(): void {
        const expiredIds = submissionTracker.takeEndedBefore(
            Date.now() - opts.bounds.keepFinishedMs,
            maxRemovedPerCommit,
        );
        if (expiredIds.length > 0) {
            void store.commit({
                conditions: [tenure.condition],
                puts: [],
                // A submission's first record may have been written late, after the submission had ended. It is removed
                // here.
                deletes: expiredIds.flatMap((id) => [submissionKey(id), progressKey(id)]),
            });
        }
    }

    const submissionWatcher = createPrefixWatcher({
        store,
        prefix: submissionPrefix,
        waitMs: watchTimeoutMs,
        pauseMs: submissionBatchMs,
        nowMs: clocks.suspendAwareMs,
        onItem: submissionTracker.handleRecord,
        onBatch() {
            startWorkerWatcher();
            planner.planSoon();
        },
        keepsText: false,
    });
    const workerWatcher = createPrefixWatcher({
        store,
        prefix: opts.decoder.prefix,
        waitMs: watchTimeoutMs,
        pauseMs: workerBatchMs,
        nowMs: clocks.suspendAwareMs,
        onItem: workerTracker.handleRegistration,
        onBatch: () => planner.planSoon(),
    });

    /**
     * Starts the worker watcher, and with it the polling of workers, only after all submissions have been read. If a
     * worker listed an end of a submission that has not been read, the end would be treated as unknown and
     * acknowledged. The task would then run a second time.
     */
    function startWorkerWatcher(): void {
        if (!isLoaded) {
            isLoaded = true;
            workerWatcher.start();
        }
    }

    /** Reads the progress that earlier leaders recorded. From now on no other leader can write it. */
    async function loadState(): Promise<boolean> {
        while (!isStopped && tenure.isValid()) {
            const result = await store.range(progressPrefix);
            if (result.kind === "items" && await orders.load()) {
                submissionTracker.restoreFrom(
                    new Map(result.items.map(({ key, text, revision }) => [
                        key,
                        { tasks: decodeProgress(text) ?? [], revision },
                    ])),
                );
                return true;
            }
            await pause(loadRetryMs);
        }
        return false;
    }

    return {
        async start() {
            if (!await loadState() || isStopped) {
                return;
            }
            submissionWatcher.start();
            fleetController.start();
            timer = setInterval(tick, tickIntervalMs);
        },
        stop() {
            isStopped = true;
            planner.stop();
            clearInterval(timer);
            polling.stop();
            workerWatcher.stop();
            submissionWatcher.stop();
            fleetController.stop();
        },
        // Before all submissions have been read, a queue with a backlog would be reported as empty.
        findState: (id) => isLoaded ? submissionTracker.findState(id) : undefined,
        countPending: (route) => isLoaded ? submissionTracker.countPending(route) : undefined,
        policyChanged() {
            markEvacuated();
            planner.planSoon();
        },
    };
}

/**
 * Finished submissions removed per commit. Each takes two operations, its record and its progress. One is the
 * condition.
 */
const maxRemovedPerCommit = Math.floor((maxCommitOperations - 1) / 2);
