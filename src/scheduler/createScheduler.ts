import { type Advice, createAdvisor } from "../advice";
import { type Clocks, pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import { createDemandMeter, createMachineOrders, type Machines } from "../machines";
import type { Policy, Wave } from "../policy";
import { createProgressWriter, decodeProgress, progressKey, progressPrefix } from "../progress";
import {
    applyEnd,
    createLooks,
    createRuns,
    createStartWindow,
    DropCause,
    dropEvidence,
    type TaskWorkers,
} from "../runs";
import {
    addDueOccurrences,
    createBoard,
    createEstimates,
    removeRun,
    removeWorker,
    type Run,
    type SubmissionEntry,
    type Worker,
} from "../schedule";
import { createFollower, maxCommitEntries, type Store } from "../store";
import { submissionKey, submissionPrefix, type SubmissionState } from "../submissions";
import { createFleetKeeper } from "./createFleetKeeper";
import { createIntake } from "./createIntake";
import { createPacer } from "./createPacer";
import { createPlanner, stepName } from "./createPlanner";
import { createWatchdog } from "./createWatchdog";
import { createWorkerIntake } from "./createWorkerIntake";
import type { WorkerDecoder } from "./workerEntries";

/** Bounds of the platform that decisions depend on. */
export interface SchedulerBounds {
    readonly maxLeaseMs: number;
    /** How long finished submissions can be asked for, in milliseconds. */
    readonly keepFinishedMs: number;
    /** Two owners must not take turns on a machine within this time, in milliseconds. */
    readonly machineTurnMs: number;
    /** How long the upkeep of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** How long a machine takes to change its pool, in milliseconds. */
    readonly moveMs: number;
    /** Orders to machines that the platform takes a second, over all entries. */
    readonly machineOrdersPerSecond: number;
    /** Longest time that a stop takes on a worker, in milliseconds. */
    readonly maxStopMs: number;
}

export interface SchedulerOptions {
    readonly store: Store;
    readonly workerApi: TaskWorkers;
    readonly machines: Machines;
    readonly advice: Advice;
    readonly decoder: WorkerDecoder;
    readonly tenure: Tenure;
    readonly holder: string;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly bounds: SchedulerBounds;
    readonly policy: () => Policy | undefined;
    readonly waves: () => readonly Wave[];
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** Whether what operators ask for is known well enough to start anything; an evacuation may have been asked for since. */
    readonly isPolicyFresh: () => boolean;
    /** Writes the state of a wave for the operators; gives false where it is not in the store. */
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    /** An order was refused for a lower token, or the duty's key is no longer ours. */
    onFenced(): void;
}

/** What an owner does during one tenure. */
export interface Scheduler {
    start(): Promise<void>;
    /** Stops deciding and ordering; what runs goes on under its leases. */
    stop(): void;
    /** Both are `undefined` until all that earlier owners left has been read. */
    findState(id: string): SubmissionState | undefined;
    countPending(route: string): number | undefined;
    policyChanged(): void;
}

/** Changes of submissions come in groups: the pause saves a call for each and adds 25 ms at most. */
const submissionGatherMs = 25;

/** Workers write every second or so each; a change that matters (a new worker, a drain) may wait this long. */
const workerGatherMs = 100;

/** Watches wait this long, in milliseconds; a connection that went silent is noticed by then. */
const watchWaitMs = 2000;

/** How often what depends on time alone is looked at, in milliseconds. */
const tickMs = 100;

/** Pause before the state of an earlier owner is read again, in milliseconds. */
const loadRetryMs = 100;

/**
 * What a machine needs to take work beside the move itself, in milliseconds: the next decision on moves, the order, its
 * entry in the store and the first list of its runs.
 */
const joinOverheadMs = 250;

/** Decides and orders for all pools while the tenure lasts. */
export function createScheduler(opts: SchedulerOptions): Scheduler {
    const { store, tenure, clocks, report } = opts;
    const board = createBoard();
    const estimates = createEstimates();
    const joinMs = opts.bounds.moveMs + joinOverheadMs;
    const meter = createDemandMeter(joinMs);
    const startedAtMs = clocks.steadyMs();
    let isStopped = false;
    let isLoaded = false;
    let timer: NodeJS.Timeout | undefined;

    function fence(): void {
        if (!isStopped) {
            opts.onFenced();
        }
    }

    function drop(run: Run, cause: DropCause, reason: string): void {
        const { task, worker, number } = run;
        const nowMs = clocks.steadyMs();
        const evidence = dropEvidence(worker, startedAtMs, nowMs);
        report({ kind: "runDropped", task: task.name, run: number, worker: worker.id, cause, reason, ...evidence });
        if (cause !== DropCause.notOrdered) {
            task.droppedRuns.add(number);
        }
        removeRun(board, run, nowMs);
        intake.forgetIfOver(task.owner);
        planner.planSoon();
    }

    function onLifeEnded(worker: Worker, reason: string): void {
        report({ kind: "workerEnded", worker: worker.id, pool: worker.pool, runs: worker.runs.size, reason });
        worker.isListed = false;
        worker.strays = 0;
        [...worker.runs].forEach((run) => drop(run, DropCause.lifeEnded, reason));
        removeWorker(board, worker);
    }

    const writer = createProgressWriter({
        store,
        tenure,
        report,
        onFenced: fence,
        onEnded: (entry) => intake.noteEnded(entry),
        onCancelled: (entry) => intake.cancel(entry),
    });
    const window = createStartWindow(clocks.steadyMs);
    const runs = createRuns({
        api: opts.workerApi,
        tenure,
        clocks,
        report,
        drop,
        onFenced: fence,
        onLifeEnded,
        lookNow: (worker) => looks.lookNow(worker),
        findTicket: ({ task, worker }) => advisor.ticket(stepName(task), worker.id),
        onStartAnswered: window.noteAnswer,
        onChange: () => planner.planSoon(),
    });
    const looks = createLooks({
        api: opts.workerApi,
        tenure,
        clocks,
        board,
        report,
        maxLeaseMs: opts.bounds.maxLeaseMs,
        applyEnd: (worker, end) =>
            applyEnd(worker, end, {
                board,
                policy: opts.policy(),
                estimates,
                nowMs: clocks.steadyMs(),
                stop: runs.stop,
            }),
        async save(entry) {
            intake.settle(entry);
            return intake.hasEnded(entry) || await writer.save(entry);
        },
        drop,
        sendStops: runs.sendStops,
        onFenced: fence,
        onLifeEnded,
        onOtherLife: (worker, bornMs) => workerIntake.noteOtherLife(worker, bornMs),
        onListed(worker) {
            pacer.adjust(worker);
            watchdog.check(worker);
        },
        onChange: () => planner.planSoon(),
    });
    const advisor = createAdvisor({
        advice: opts.advice,
        steadyMs: clocks.steadyMs,
        report,
        onChange: () => planner.planSoon(),
    });
    const workerIntake = createWorkerIntake({
        board,
        decoder: opts.decoder,
        report,
        steadyMs: clocks.steadyMs,
        onLifeEnded,
        isOrdered: (worker) => keeper.isOrdered(worker),
        evacuatedZones: opts.evacuatedZones,
        follow: looks.follow,
    });
    const intake = createIntake({
        board,
        estimates,
        meter,
        report,
        steadyMs: clocks.steadyMs,
        stop: runs.stop,
        findWorker: (id, bornMs) => workerIntake.findRecorded(id, bornMs),
        save: (entry) => void writer.save(entry),
    });
    const planner = createPlanner({
        board,
        estimates,
        tenure,
        steadyMs: clocks.steadyMs,
        policy: () => opts.isPolicyFresh() ? opts.policy() : undefined,
        advisor,
        window,
        startAll: (entry, group) => void startAll(entry, group),
    });
    const pacer = createPacer({ api: opts.workerApi, tenure, clocks });
    const watchdog = createWatchdog({ board, clocks, estimates, report, stop: runs.stop });
    const orders = createMachineOrders({
        store,
        machines: opts.machines,
        tenure,
        orderer: { holder: opts.holder, token: tenure.token },
        report,
        turnMs: opts.bounds.machineTurnMs,
    });
    const keeper = createFleetKeeper({
        board,
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
        stop: runs.stop,
        lookNow: looks.lookNow,
        onLifeEnded,
        onChange: () => planner.planSoon(),
    });

    async function startAll(entry: SubmissionEntry, group: readonly Run[]): Promise<void> {
        if (!await writer.save(entry)) {
            return;
        }
        for (const run of group) {
            if (run.worker.runs.has(run)) {
                entry.hasBegun = true;
                void runs.start(run);
                looks.follow(run.worker);
            }
        }
    }

    function markEvacuated(): void {
        const zones = opts.evacuatedZones();
        for (const worker of board.workers.values()) {
            worker.isEvacuated = zones.has(worker.zone);
        }
    }

    function tick(): void {
        const nowMs = clocks.steadyMs();
        for (const entry of board.submissions.values()) {
            addDueOccurrences(entry, Date.now(), nowMs);
        }
        for (const worker of board.workers.values()) {
            looks.follow(worker);
            if (!worker.isListed && worker.runs.size === 0) {
                removeWorker(board, worker);
            }
        }
        watchdog.tick();
        forgetFinished();
        planner.planSoon();
    }

    function forgetFinished(): void {
        const old = intake.takeEndedBefore(Date.now() - opts.bounds.keepFinishedMs, maxForgotten);
        if (old.length > 0) {
            void store.commit({
                conditions: [tenure.condition],
                puts: [],
                // A first record that was written late, after its submission had ended, is still there.
                deletes: old.flatMap((id) => [submissionKey(id), progressKey(id)]),
            });
        }
    }

    const submissions = createFollower({
        store,
        prefix: submissionPrefix,
        waitMs: watchWaitMs,
        pauseMs: submissionGatherMs,
        nowMs: clocks.suspendAwareMs,
        onItem: intake.take,
        onBatch() {
            startWorkers();
            planner.planSoon();
        },
        isItemKept: false,
    });
    const workers = createFollower({
        store,
        prefix: opts.decoder.prefix,
        waitMs: watchWaitMs,
        pauseMs: workerGatherMs,
        nowMs: clocks.suspendAwareMs,
        onItem: workerIntake.take,
        onBatch: () => planner.planSoon(),
    });

    /**
     * Workers are asked only when all submissions are on the board. An end that a worker lists for a submission not yet
     * read would be taken for one of no interest and acknowledged; the task would then run a second time.
     */
    function startWorkers(): void {
        if (!isLoaded) {
            isLoaded = true;
            workers.start();
        }
    }

    /** Reads what earlier owners recorded; from now on nobody else can write it. */
    async function load(): Promise<boolean> {
        while (!isStopped && tenure.isValid()) {
            const result = await store.range(progressPrefix);
            if (result.kind === "items" && await orders.load()) {
                intake.restoreFrom(
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
            if (!await load() || isStopped) {
                return;
            }
            submissions.start();
            keeper.start();
            timer = setInterval(tick, tickMs);
        },
        stop() {
            isStopped = true;
            planner.stop();
            clearInterval(timer);
            looks.stop();
            workers.stop();
            submissions.stop();
            keeper.stop();
        },
        // Asked before all submissions are read, a queue with a backlog would be shown as empty.
        findState: (id) => isLoaded ? intake.findState(id) : undefined,
        countPending: (route) => isLoaded ? intake.countPending(route) : undefined,
        policyChanged() {
            markEvacuated();
            planner.planSoon();
        },
    };
}

/** Finished submissions removed from the store in one call, each with its progress; one entry is the condition. */
const maxForgotten = Math.floor((maxCommitEntries - 1) / 2);
