import { createPermitCache } from "../advice";
import { createAccountRates } from "../fairness";
import { createDemandMeter, createMachineOrders } from "../machines";
import { createProgressWriter, SavePurpose } from "../progress";
import {
    applyEnd,
    collectDropEvidence,
    createRunControl,
    createStartWindow,
    createWorkerPolling,
    DropCause,
} from "../runs";
import {
    addDueOccurrences,
    createAccountLimits,
    createDurationEstimates,
    createSchedulerState,
    recordStart,
    removeRun,
    removeWorker,
    type Run,
    type SubmissionEntry,
    type Worker,
} from "../schedule";
import { lateWriteMs, minKeepFinishedMs, submissionPrefix } from "../submissions";
import { createBacklogMeter } from "./createBacklogMeter";
import { createFirstStartReport } from "./createFirstStartReport";
import { createFleetController } from "./createFleetController";
import { createObstacleReport } from "./createObstacleReport";
import { createPacer } from "./createPacer";
import { adviceStepName, createPlanner } from "./createPlanner";
import { createRecordRemover } from "./createRecordRemover";
import { createStateLoader } from "./createStateLoader";
import { createSubmissionClassifier } from "./createSubmissionClassifier";
import { createSubmissionTracker } from "./createSubmissionTracker";
import { createWatchdog } from "./createWatchdog";
import { createWorkerTracker } from "./createWorkerTracker";
import type { Scheduler, SchedulerOptions } from "./scheduler";

/** Interval of checks that depend on time alone, in milliseconds. */
const tickIntervalMs = 100;

/**
 * Time that a machine needs to take work in addition to the move itself, in milliseconds: the next decision on moves, the
 * order, the worker's registration in the store and its first run list.
 */
const joinOverheadMs = 250;

/**
 * Longest leases after the end of a submission in which its runs may still be running. One would do on a single clock, but
 * the end was recorded by another entry's time of day.
 */
const remainingLeases = 2;

/** Schedules tasks and machines of all pools while the tenure lasts. */
export function createScheduler(opts: SchedulerOptions): Scheduler {
    const { store, tenure, clocks, report } = opts;
    const state = createSchedulerState();
    const estimates = createDurationEstimates();
    const joinMs = opts.bounds.moveMs + joinOverheadMs;
    const meter = createDemandMeter(joinMs);
    const startedAtMs = clocks.monotonicMs();
    let isStopped = false;
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
        findTicket: ({ task, worker }) => permitCache.ticket(adviceStepName(task), worker.id, worker.bornMs),
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
                estimates,
                nowMs: clocks.monotonicMs(),
                report,
                stop: runControl.stop,
            }),
        async save(entry) {
            submissionTracker.settle(entry);
            if (submissionTracker.hasEnded(entry)) {
                submissionTracker.forgetIfOver(entry);
                return true;
            }
            return progressWriter.save(entry, SavePurpose.end);
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
    const rates = createAccountRates();
    const limits = createAccountLimits();
    const classifier = createSubmissionClassifier({
        rates,
        serviceShares: state.serviceShares,
        policy: opts.policy,
        report,
        steadyMs: clocks.monotonicMs,
    });
    const submissionTracker = createSubmissionTracker({
        state,
        estimates,
        meter,
        classifier,
        limits,
        policy: opts.policy,
        report,
        steadyMs: clocks.monotonicMs,
        remainingRunMs: remainingLeases * opts.bounds.maxLeaseMs,
        stop: runControl.stop,
        findWorker: (id, bornMs) => workerTracker.findRecorded(id, bornMs),
        save: (entry) => void progressWriter.save(entry, SavePurpose.end),
    });
    const keepFinishedMs = Math.max(opts.bounds.keepFinishedMs, minKeepFinishedMs);
    const recordRemover = createRecordRemover({
        store,
        tenure,
        takeExpired: (maxCount) => submissionTracker.takeEndedBefore(Date.now() - keepFinishedMs, maxCount),
    });
    const planner = createPlanner({
        state,
        estimates,
        tenure,
        steadyMs: clocks.monotonicMs,
        policy: () => opts.isPolicyFresh() ? opts.policy() : undefined,
        limits,
        permits: permitCache,
        window: startWindow,
        maxValueBytes: opts.bounds.maxValueBytes,
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
    const measureLoad = createBacklogMeter({
        state,
        estimates,
        tenure,
        clocks,
        policy: opts.policy,
        capOf: limits.capOf,
        latestDemand: fleetController.latestDemand,
        isExcess: (entry) => entry.isExcess,
    });

    async function startAll(entry: SubmissionEntry, group: readonly Run[]): Promise<void> {
        if (!await progressWriter.save(entry, SavePurpose.start)) {
            return;
        }
        for (const run of group) {
            if (run.worker.runs.has(run)) {
                recordStart(entry, run, clocks.monotonicMs());
                entry.hasStarted = true;
                firstStart.recordStart();
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
            // The address of a worker that an earlier leader recorded is unknown until its registration has been read. A
            // poll before that has no answer, and the next one follows only 250 ms later.
            if (loader.areWorkersRead()) {
                polling.ensurePolling(worker);
            }
            if (!worker.isRegistered && worker.runs.size === 0) {
                removeWorker(state, worker);
            }
        }
        watchdog.tick();
        classifier.tick();
        obstacleReport.tick();
        // A new tenure may follow an outage in which records have expired. Writes from before it may still be carried out.
        if (nowMs - startedAtMs > lateWriteMs) {
            void recordRemover.run();
        }
        planner.planSoon();
    }

    const obstacleReport = createObstacleReport({
        state,
        clocks,
        report,
        policy: opts.policy,
        maxValueBytes: opts.bounds.maxValueBytes,
    });
    const firstStart = createFirstStartReport({ state, clocks, report, token: tenure.token });
    const loader = createStateLoader({
        store,
        tenure,
        clocks,
        report,
        workerPrefix: opts.decoder.prefix,
        copy: opts.copy,
        loadOrders: orders.load,
        restoreProgress: submissionTracker.restoreFrom,
        onSubmission: submissionTracker.handleRecord,
        onSubmissionsLoaded() {
            classifier.classify();
            firstStart.recordLoaded();
        },
        onWorker: workerTracker.handleRegistration,
        onChange() {
            if (loader.isLoaded()) {
                classifier.classify();
            }
            planner.planSoon();
        },
    });

    return {
        async start() {
            if (!await loader.load() || isStopped) {
                return;
            }
            loader.watch();
            fleetController.start();
            timer = setInterval(tick, tickIntervalMs);
        },
        stop() {
            isStopped = true;
            planner.stop();
            clearInterval(timer);
            polling.stop();
            loader.stop();
            fleetController.stop();
        },
        // Before all submissions have been read, a queue with a backlog would be reported as empty.
        findState: (id) => loader.isLoaded() ? submissionTracker.findState(id) : undefined,
        rates,
        startsInFlight: startWindow.inFlightByPool,
        countPending: (route) => loader.isLoaded() ? submissionTracker.countPending(route) : undefined,
        policyChanged() {
            markEvacuated();
            submissionTracker.applyPolicy();
            // Until all submissions have been read, they are not classified: their order would be lost.
            if (loader.isLoaded()) {
                classifier.classify();
            }
            planner.planSoon();
        },
        applyRecord(item) {
            if (!isStopped && item.key.startsWith(submissionPrefix)) {
                loader.offerSubmission(item);
            }
        },
        // Before all workers have been read, pools would seem to have hardly any processors, and work to wait for long.
        measureLoad: () => loader.areWorkersRead() ? measureLoad() : undefined,
    };
}
