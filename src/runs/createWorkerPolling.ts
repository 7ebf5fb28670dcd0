import { type Clocks, pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import {
    findTask,
    isCurrentIncarnation,
    type Run,
    type SchedulerState,
    type SubmissionEntry,
    type Task,
    type Worker,
} from "../schedule";
import { DropCause } from "./dropCause";
import type { ListedEnd, ListedRun, PollResult, WorkerApi } from "./workerApi";
import { earliestWorkerMs, recordClockReading } from "./workerClock";
import { areLeasesExpired, boundEarlierLeases, extendLeaseBound, type LeaseBounds, runLeaseMs } from "./workerLease";

export interface WorkerPollingOptions {
    readonly api: WorkerApi;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
    readonly state: SchedulerState;
    readonly report: Reporter;
    /** Longest lease that a worker allows, in milliseconds. */
    readonly maxLeaseMs: number;
    /** Applies the end of a run; returns the submission's entry that it changed, if any. */
    applyEnd(worker: Worker, end: ListedEnd): SubmissionEntry | undefined;
    /** Resolves with true once a submission's progress is stored, with false if the tenure has ended. */
    save(entry: SubmissionEntry): Promise<boolean>;
    /** Removes a run that can no longer run anywhere. */
    drop(run: Run, cause: DropCause, detail: string): void;
    /** Sends again the stop requests that had no answer. */
    sendStops(worker: Worker): void;
    /** A worker has seen a higher fencing token. */
    onFenced(): void;
    /** The worker's incarnation has ended; nothing runs there. */
    onIncarnationEnded(worker: Worker, reason: string): void;
    /** Another incarnation of the worker, with the same id and address, has answered. */
    onOtherIncarnation(worker: Worker, bornMs: number): void;
    /** A list has been applied. */
    onListed(worker: Worker): void;
    /** Capacity or tasks have become available for planning. */
    onChange(): void;
}

export interface WorkerPolling {
    /** Polls a worker while it has runs or does not answer, and until its list has been read once. */
    ensurePolling(worker: Worker): void;
    /** Polls a worker at once, in addition to a long poll that waits for an end. */
    pollNow(worker: Worker): void;
    stop(): void;
}

/** How long a poll waits for an end, in milliseconds. It also bounds the age of the last lease renewal. */
const pollWaitMs = 1000;

/** The same, in milliseconds, where fillers run beside serving tasks, whose latency has to be monitored closely. */
const closePollWaitMs = 400;

/** Retry delay after a poll without an answer, in milliseconds. */
const retryMs = 250;

/** The same, in milliseconds, for a worker without runs, which is polled only to detect that it is usable again. */
const idleRetryMs = 1000;

/** Shortest pause between two polls of a worker, in milliseconds. It groups ends, because each poll has a cost. */
const minPollPauseMs = 25;

/** Delay in which requests for immediate polls are merged, in milliseconds: a cancellation stops many runs at once. */
const pollNowDelayMs = 5;

/** Polls each worker in use in a loop of its own, to renew leases and to learn what runs and what has ended. */
export function createWorkerPolling(opts: WorkerPollingOptions): WorkerPolling {
    const { api, tenure, clocks, state: schedulerState } = opts;
    const polledWorkers = new Set<Worker>();
    const bounds: LeaseBounds = {
        leaseMs: Math.min(runLeaseMs, opts.maxLeaseMs),
        maxLeaseMs: opts.maxLeaseMs,
        earlierLeadersUntilMs: tenure.formerLeaderUntilMs ?? clocks.monotonicMs(),
    };
    /** Workers for which an immediate poll is scheduled. */
    const pollsScheduled = new Set<Worker>();
    let isStopped = false;

    function isNeeded(worker: Worker): boolean {
        const needsPoll = worker.runList.kind === "unread" || !worker.isReachable;
        return !isIdle(worker) || (worker.isRegistered && needsPoll);
    }

    function isIdle(worker: Worker): boolean {
        return worker.runs.size === 0 && worker.strayRunCount === 0;
    }

    async function pollLoop(worker: Worker): Promise<void> {
        while (!isStopped && tenure.isValid() && isNeeded(worker) && isCurrentIncarnation(schedulerState, worker)) {
            opts.sendStops(worker);
            await poll(worker, chooseWait(worker));
        }
        polledWorkers.delete(worker);
    }

    async function poll(worker: Worker, waitMs: number): Promise<void> {
        const sentAtMs = clocks.monotonicMs();
        const leaseUntilMs = chooseLeaseEnd(worker, sentAtMs);
        const result = await api.poll(worker, {
            token: tenure.token,
            // A worker that has not answered may have restarted; its ends are then numbered from the beginning.
            ackedEnd: worker.isReachable ? worker.ackedEnd : 0,
            leaseUntilMs,
            waitMs,
        });
        if (isStopped) {
            return;
        }
        await applyResult(worker, result, sentAtMs);
    }

    /**
     * End of the lease to grant with a poll, on the worker's clock; `undefined` for no renewal.
     *
     * An unreachable worker's leases are not renewed, so that they expire. The end is computed from the earliest time that
     * its clock can show. By the latest one, the lease would be longer by up to a poll's wait, and the next leader could
     * not bound it.
     */
    function chooseLeaseEnd(worker: Worker, nowMs: number): number | undefined {
        const workerMs = earliestWorkerMs(worker, nowMs);
        if (workerMs === undefined || !worker.isReachable) {
            return undefined;
        }
        const leaseUntilMs = Math.floor(workerMs + bounds.leaseMs);
        extendLeaseBound(worker, leaseUntilMs);
        return leaseUntilMs;
    }

    function chooseWait(worker: Worker): number {
        if (worker.runList.kind === "unread" || !worker.isReachable) {
            return 0;
        }
        const runs = [...worker.runs];
        const isClose = runs.some(({ task }) => task.step.isFiller)
            && runs.some(({ task }) => task.step.targetLatencyMs > 0);
        return isClose || runs.some(({ phase }) => phase === "unconfirmed") ? closePollWaitMs : pollWaitMs;
    }

    async function applyResult(worker: Worker, result: PollResult, sentAtMs: number): Promise<void> {
        switch (result.kind) {
            case "fenced":
                opts.onFenced();
                return;
            case "otherLife":
                opts.onIncarnationEnded(worker, "another incarnation answered a poll");
                return;
            case "noAnswer":
                handleNoAnswer(worker, result.detail);
                await pause(isIdle(worker) && worker.runList.kind === "read" ? idleRetryMs : retryMs);
                return;
            case "listed":
                await applyList(worker, result, sentAtMs);
        }
    }

    function handleNoAnswer(worker: Worker, detail: string): void {
        if (worker.isReachable) {
            worker.isReachable = false;
            opts.report({ kind: "dependency", name: `worker ${worker.id}`, state: "lost", detail });
        }
        if (!isIdle(worker) && areLeasesExpired(worker, bounds, clocks.monotonicMs())) {
            [...worker.runs].forEach((run) =>
                opts.drop(run, DropCause.leaseOver, "its lease has expired on an unresponsive worker")
            );
            worker.strayRunCount = 0;
            opts.onChange();
        }
    }

    async function applyList(
        worker: Worker,
        result: Extract<PollResult, { kind: "listed"; }>,
        sentAtMs: number,
    ): Promise<void> {
        if (!isCurrentIncarnation(schedulerState, worker)) {
            // Another record of the worker has its runs by now; applied to this one, the list would show only stray runs.
            return;
        }
        if (result.bornMs !== undefined && result.bornMs !== worker.bornMs) {
            opts.onOtherIncarnation(worker, result.bornMs);
            return;
        }
        recordClockReading(worker, {
            workerMs: result.workerMs,
            sentAtMs,
            receivedAtMs: clocks.monotonicMs(),
            from: "list",
        });
        if (worker.runList.kind === "read" && sentAtMs < worker.runList.askedAtMs) {
            // A list requested later has been applied already; the ends in this one are listed again.
            return;
        }
        recordList(worker, result.workerMs, sentAtMs);
        if (!worker.isReachable) {
            worker.isReachable = true;
            opts.report({ kind: "dependency", name: `worker ${worker.id}`, state: "regained", detail: "" });
        }
        applyRunning(worker, result.running);
        const changed = applyEnds(worker, result.ended);
        dropAbsent(worker, result, sentAtMs);
        opts.onListed(worker);
        opts.onChange();
        const saved = await Promise.all([...changed].map(opts.save));
        if (saved.every(Boolean)) {
            worker.ackedEnd = Math.max(worker.ackedEnd, ...result.ended.map(({ number }) => number));
        }
        await pause(minPollPauseMs);
    }

    function recordList(worker: Worker, workerMs: number, askedAtMs: number): void {
        const { runList } = worker;
        switch (runList.kind) {
            case "unread":
                // Without this bound, a worker that is cut off right after a change of leaders would count as empty while
                // it still runs what the previous leader started.
                boundEarlierLeases(worker, workerMs, bounds);
                worker.runList = { kind: "read", firstReadAtMs: clocks.monotonicMs(), askedAtMs };
                return;
            case "read":
                worker.runList = { ...runList, askedAtMs };
        }
    }

    function applyRunning(worker: Worker, rows: readonly ListedRun[]): void {
        let strays = 0;
        for (const row of rows) {
            const task = findTask(schedulerState, row.task);
            const run = task?.runs.find((known) => known.number === row.run && known.worker === worker);
            if (run === undefined) {
                strays++;
                reportReappeared(worker, task, row.run, "running");
                opts.report({ kind: "stray", task: row.task, run: row.run, worker: worker.id });
                void api.stop(worker, row.task, row.run, tenure.token);
                continue;
            }
            recordProgress(run, row);
        }
        worker.strayRunCount = strays;
    }

    /** Reports, once, a run that was dropped although it was still running. */
    function reportReappeared(worker: Worker, task: Task | undefined, number: number, state: string): void {
        if (task?.droppedRuns.delete(number) === true) {
            const { name, lastRun } = task;
            opts.report({ kind: "runReappeared", task: name, run: number, worker: worker.id, state, lastRun });
        }
    }

    function recordProgress(run: Run, row: ListedRun): void {
        const nowMs = clocks.monotonicMs();
        if (run.phase === "unconfirmed" || run.phase === "starting") {
            run.phase = "running";
        }
        run.firstListedAtMs ??= nowMs;
        run.answeredAtMs = Math.min(run.answeredAtMs, nowMs);
        if (row.percent > run.percent) {
            run.percent = row.percent;
            run.progressAtMs = nowMs;
        }
        else if (run.task.step.isLongRunning) {
            run.percent = row.percent;
        }
        run.measure = row.measure;
        if (row.checkpoint !== "") {
            run.checkpoint = row.checkpoint;
            run.task.checkpoint = row.checkpoint;
        }
    }

    function applyEnds(worker: Worker, ends: readonly ListedEnd[]): ReadonlySet<SubmissionEntry> {
        const changed = new Set<SubmissionEntry>();
        for (const end of ends) {
            if (end.number <= worker.ackedEnd) {
                continue;
            }
            reportReappeared(worker, findTask(schedulerState, end.task), end.run, end.how);
            const entry = opts.applyEnd(worker, end);
            opts.report({ kind: "end", task: end.task, run: end.run, worker: worker.id, how: end.how });
            if (entry !== undefined) {
                changed.add(entry);
            }
        }
        return changed;
    }

    /** Drops runs requested before the poll and listed neither as running nor as ended: they never ran and never will. */
    function dropAbsent(
        worker: Worker,
        { running, ended, areEndsComplete }: Extract<PollResult, { kind: "listed"; }>,
        sentAtMs: number,
    ): void {
        if (!areEndsComplete) {
            return;
        }
        const listed = new Set([...running, ...ended].map(({ task, run }) => `${task} ${run}`));
        for (const run of [...worker.runs]) {
            const isResolved = run.phase === "unconfirmed" || run.answeredAtMs <= sentAtMs;
            if (isResolved && !listed.has(`${run.task.name} ${run.number}`)) {
                opts.drop(run, DropCause.absent, "the worker lists it neither as running nor as ended");
            }
        }
    }

    return {
        ensurePolling(worker) {
            if (!isStopped && !polledWorkers.has(worker) && isNeeded(worker)) {
                polledWorkers.add(worker);
                void pollLoop(worker);
            }
        },
        pollNow(worker) {
            if (pollsScheduled.has(worker)) {
                return;
            }
            pollsScheduled.add(worker);
            setTimeout(() => {
                pollsScheduled.delete(worker);
                if (!isStopped && tenure.isValid() && isCurrentIncarnation(schedulerState, worker)) {
                    void poll(worker, 0);
                }
            }, pollNowDelayMs);
        },
        stop() {
            isStopped = true;
        },
    };
}
