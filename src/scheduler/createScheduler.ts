import { type Advice, createAdvisor } from "../advice";
import { type Clocks, pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import { createDemandMeter, createMachineOrders, type Machines } from "../machines";
import type { Policy, Wave } from "../policy";
import { createProgressWriter, decodeProgress, progressKey, progressPrefix, type TaskProgress } from "../progress";
import { applyEnd, createLooks, createRuns, type TaskWorkers } from "../runs";
import {
    addDueOccurrences,
    addSubmission,
    createBoard,
    createEstimates,
    createWorker,
    groupByPool,
    isComplete,
    listAdviceCandidates,
    planCopies,
    planStarts,
    remainingWork,
    removeRun,
    routeOf,
    type Run,
    type SubmissionEntry,
    type Task,
    tasksOf,
    type Unit,
    type Worker,
} from "../schedule";
import { createFollower, type Store, type StoreItem } from "../store";
import { decodeRecord, type FinalState, submissionPrefix, SubmissionState } from "../submissions";
import { applyWorkerEntry } from "./applyWorkerEntry";
import { createFleetKeeper } from "./createFleetKeeper";
import { createPacer } from "./createPacer";
import { createWatchdog } from "./createWatchdog";
import { restoreProgress } from "./restoreProgress";
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

/** Changes of submissions come in groups: the pause saves a call for each and adds 10 ms at most. */
const submissionGatherMs = 10;

/** Workers write every second or so each; a change that matters (a new worker, a drain) may wait this long. */
const workerGatherMs = 100;

/** Watches wait this long, in milliseconds; a connection that went silent is noticed by then. */
const watchWaitMs = 2000;

/** How often what depends on time alone is looked at, in milliseconds. */
const tickMs = 100;

/**
 * Shortest time between two rounds of planning, in milliseconds. Each round orders all that waits; hundreds of ends and
 * answers a second would otherwise each start one.
 */
const planGatherMs = 8;

/**
 * Pause after a round, as a multiple of what the round took. With a long backlog a round takes tens of milliseconds on a
 * small instance; planning would leave no time for orders, answers and renewals. This bounds it to a quarter.
 */
const planPauseFactor = 3;

/** Starts of one round of planning; the next follows at once. */
const maxStartsPerRound = 200;

/** Pause before the state of an earlier owner is read again, in milliseconds. */
const loadRetryMs = 100;

/** Decides and orders for all pools while the tenure lasts. */
export function createScheduler(opts: SchedulerOptions): Scheduler {
    const { store, tenure, clocks, report } = opts;
    const board = createBoard();
    const estimates = createEstimates();
    const meter = createDemandMeter();
    const finished = new Map<string, { readonly state: FinalState; readonly atMs: number; }>();
    let progress = new Map<string, { readonly tasks: readonly TaskProgress[]; readonly revision: number; }>();
    let isStopped = false;
    let isPlanning = false;
    let planAgainAtMs = 0;
    let hasWorkers = false;
    let timer: NodeJS.Timeout | undefined;

    function fence(): void {
        if (!isStopped) {
            opts.onFenced();
        }
    }

    function drop(run: Run, reason: string): void {
        const { task } = run;
        report({ kind: "runDropped", task: task.name, run: run.number, worker: run.worker.id, reason });
        removeRun(board, run, clocks.steadyMs());
        forgetIfOver(task.owner);
        planSoon();
    }

    function onLifeEnded(worker: Worker, reason: string): void {
        report({ kind: "workerEnded", worker: worker.id, pool: worker.pool, runs: worker.runs.size, reason });
        worker.isListed = false;
        worker.strays = 0;
        [...worker.runs].forEach((run) => drop(run, reason));
        if (board.workers.get(worker.id) === worker) {
            board.workers.delete(worker.id);
        }
    }

    const writer = createProgressWriter({
        store,
        tenure,
        report,
        onFenced: fence,
        onEnded: noteEnded,
        onCancelled: cancel,
    });
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
        onChange: planSoon,
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
            settle(entry);
            return finished.has(entry.submission.id) || await writer.save(entry);
        },
        drop,
        sendStops: runs.sendStops,
        onFenced: fence,
        onLifeEnded,
        onListed(worker) {
            pacer.adjust(worker);
            watchdog.check(worker);
        },
        onChange: planSoon,
    });
    const advisor = createAdvisor({ advice: opts.advice, steadyMs: clocks.steadyMs, report, onChange: planSoon });
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
        policy: opts.policy,
        waves: opts.waves,
        maintenanceMs: opts.bounds.maintenanceMs,
        maxStopMs: opts.bounds.maxStopMs,
        reportWave: opts.reportWave,
        stop: runs.stop,
        onLifeEnded,
        onChange: planSoon,
    });

    function findWorker(id: string, bornMs: number): Worker {
        const known = board.workers.get(id);
        if (known !== undefined && known.bornMs === bornMs) {
            return known;
        }
        // Not listed, or its id lives on in a new life: nothing is known of this one but what was started there.
        const ghost = createWorker(id, bornMs);
        ghost.isReachable = false;
        board.workers.set(known === undefined ? id : `${id} ${bornMs}`, ghost);
        return ghost;
    }

    function takeSubmission(key: string, item: StoreItem | undefined): void {
        const id = key.slice(submissionPrefix.length);
        const record = item === undefined ? undefined : decodeRecord(item.text);
        if (item === undefined || record === undefined) {
            finished.delete(id);
            return;
        }
        if (record.kind === "final") {
            finished.set(id, { state: record.state, atMs: record.endedAtMs });
            return;
        }
        const known = board.submissions.get(id);
        if (known !== undefined) {
            known.revision = item.revision;
            if (record.isCancelled) {
                cancel(known);
            }
            return;
        }
        const nowMs = clocks.steadyMs();
        const entry = addSubmission(board, record.submission, item.revision, record.isCancelled, nowMs);
        const stored = progress.get(progressKey(id));
        if (stored !== undefined) {
            entry.progressRevision = stored.revision;
            restoreProgress(board, entry, stored.tasks, findWorker, nowMs);
        }
        addDueOccurrences(entry, Date.now(), nowMs);
        meter.note(record.submission.service, remainingWork(entry, estimates), nowMs);
        reportSubmission(entry, "taken");
        settle(entry);
    }

    function reportSubmission({ submission }: SubmissionEntry, change: string): void {
        const { id, route, acceptedAtMs } = submission;
        report({ kind: "submission", submission: id, change, route, sinceAcceptedMs: Date.now() - acceptedAtMs });
    }

    function cancel(entry: SubmissionEntry): void {
        entry.isCancelled = true;
        settle(entry);
    }

    /** Decides the end of a submission, once. */
    function settle(entry: SubmissionEntry): void {
        if (entry.ending !== undefined) {
            return;
        }
        const tasks = [...tasksOf(entry)];
        if (entry.isCancelled) {
            entry.ending = "cancelled";
        }
        else if (tasks.some(({ phase }) => phase === "failed")) {
            entry.ending = "failed";
        }
        else if (isComplete(entry)) {
            entry.ending = "complete";
        }
        else {
            return;
        }
        const { ending } = entry;
        tasks.forEach((task) => [...task.runs].forEach((run) => runs.stop(run, `its submission is ${ending}`)));
        void writer.save(entry);
    }

    function noteEnded(entry: SubmissionEntry): void {
        const { id } = entry.submission;
        if (entry.ending !== undefined) {
            finished.set(id, { state: entry.ending, atMs: Date.now() });
            reportSubmission(entry, entry.ending);
        }
        forgetIfOver(entry);
    }

    /** Runs that are still being stopped are looked up by their submission. */
    function forgetIfOver(entry: SubmissionEntry): void {
        const isOver = finished.has(entry.submission.id) && entry.ending !== undefined;
        if (isOver && [...tasksOf(entry)].every((task) => task.runs.length === 0)) {
            board.submissions.delete(entry.submission.id);
        }
    }

    function takeWorker(key: string, item: StoreItem | undefined): void {
        const id = opts.decoder.idOf(key);
        const entry = item === undefined ? undefined : opts.decoder.decode(key, item.text);
        if (entry === undefined) {
            const known = board.workers.get(id);
            if (known !== undefined) {
                known.isListed = false;
            }
            if (item !== undefined) {
                report({ kind: "valueRefused", key, detail: "the entry names no worker" });
            }
            return;
        }
        const worker = applyWorkerEntry(board, entry, onLifeEnded);
        looks.follow(worker);
    }

    function planSoon(): void {
        if (!isPlanning && !isStopped) {
            isPlanning = true;
            setTimeout(runRound, Math.max(0, planAgainAtMs - clocks.steadyMs()));
        }
    }

    function runRound(): void {
        const beganAtMs = clocks.steadyMs();
        isPlanning = false;
        plan();
        const tookMs = clocks.steadyMs() - beganAtMs;
        planAgainAtMs = beganAtMs + Math.max(planGatherMs, tookMs * (1 + planPauseFactor));
    }

    function plan(): void {
        const policy = opts.policy();
        if (isStopped || policy === undefined || !tenure.isValid()) {
            return;
        }
        const planned = planStarts({
            board,
            policy,
            estimates,
            nowMs: clocks.steadyMs(),
            timeOfDayMs: Date.now(),
            allowedWorkers: findAllowed,
            maxStarts: maxStartsPerRound,
        });
        const pools = groupByPool(board);
        const copies = planCopies({
            board,
            workersOf: (pool) => pools.get(pool) ?? [],
            poolOf: (submission) => routeOf(policy, submission).service,
            estimates,
            nowMs: clocks.steadyMs(),
        });
        const bySubmission = new Map<SubmissionEntry, Run[]>();
        [...planned, ...copies].forEach((run) => {
            const entry = run.task.owner;
            bySubmission.set(entry, [...bySubmission.get(entry) ?? [], run]);
        });
        bySubmission.forEach((group, entry) => void startAll(entry, group));
    }

    function findAllowed(unit: Unit, workers: readonly Worker[]): ReadonlySet<string> | "unknown" | undefined {
        const task = unit.tasks[0];
        if (unit.route.advice === undefined || task === undefined) {
            return undefined;
        }
        const candidates = listAdviceCandidates(unit, workers, clocks.steadyMs()).map(({ id }) => id);
        return advisor.allowed(stepName(task), candidates) ?? "unknown";
    }

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

    function tick(): void {
        const nowMs = clocks.steadyMs();
        for (const entry of board.submissions.values()) {
            addDueOccurrences(entry, Date.now(), nowMs);
        }
        for (const worker of board.workers.values()) {
            looks.follow(worker);
            if (!worker.isListed && worker.runs.size === 0) {
                board.workers.delete(worker.id);
            }
        }
        watchdog.tick();
        forgetFinished();
        planSoon();
    }

    function forgetFinished(): void {
        const cutMs = Date.now() - opts.bounds.keepFinishedMs;
        const old = [...finished].filter(([, { atMs }]) => atMs < cutMs).slice(0, maxForgotten).map(([id]) => id);
        if (old.length > 0) {
            old.forEach((id) => finished.delete(id));
            void store.commit({
                conditions: [tenure.condition],
                puts: [],
                deletes: old.map((id) => submissionPrefix + id),
            });
        }
    }

    const submissions = createFollower({
        store,
        prefix: submissionPrefix,
        waitMs: watchWaitMs,
        pauseMs: submissionGatherMs,
        nowMs: clocks.suspendAwareMs,
        onItem: takeSubmission,
        onBatch() {
            startWorkers();
            planSoon();
        },
        isItemKept: false,
    });
    const workers = createFollower({
        store,
        prefix: opts.decoder.prefix,
        waitMs: watchWaitMs,
        pauseMs: workerGatherMs,
        nowMs: clocks.suspendAwareMs,
        onItem: takeWorker,
        onBatch: planSoon,
    });

    /**
     * Workers are asked only when all submissions are on the board. An end that a worker lists for a submission not yet
     * read would be taken for one of no interest and acknowledged; the task would then run a second time.
     */
    function startWorkers(): void {
        if (!hasWorkers) {
            hasWorkers = true;
            workers.start();
        }
    }

    /** Reads what earlier owners recorded; from now on nobody else can write it. */
    async function load(): Promise<boolean> {
        while (!isStopped && tenure.isValid()) {
            const result = await store.range(progressPrefix);
            if (result.kind === "items" && await orders.load()) {
                progress = new Map(
                    result.items.map((
                        { key, text, revision },
                    ) => [key, { tasks: decodeProgress(text) ?? [], revision }]),
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
            clearInterval(timer);
            looks.stop();
            workers.stop();
            submissions.stop();
            keeper.stop();
        },
        findState(id) {
            const entry = board.submissions.get(id);
            const state = finished.get(id)?.state;
            if (state !== undefined || entry === undefined) {
                return state;
            }
            return entry.isCancelled
                ? SubmissionState.cancelled
                : entry.hasBegun
                ? SubmissionState.running
                : SubmissionState.pending;
        },
        countPending(route) {
            if (!hasWorkers) {
                // Counted before all submissions are read, a queue with a backlog would be shown as empty.
                return undefined;
            }
            let count = 0;
            for (const entry of board.submissions.values()) {
                const isWaiting = !entry.hasBegun && !entry.isCancelled;
                count += isWaiting && entry.submission.route === route ? 1 : 0;
            }
            return count;
        },
        policyChanged: planSoon,
    };
}

function stepName({ owner, occurrence, stepNumber }: Task): string {
    return `${owner.submission.id}.${occurrence}.${stepNumber}`;
}

/** Finished submissions removed from the store in one call. */
const maxForgotten = 25;
