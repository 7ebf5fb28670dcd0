import { type Clocks, pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import { type Board, findTask, isOnBoard, type Run, type SubmissionEntry, type Task, type Worker } from "../schedule";
import { DropCause } from "./dropCause";
import type { EndRow, LookResult, RunningRow, TaskWorkers } from "./taskWorkers";
import { earliestWorkerMs, noteClock } from "./workerClock";
import { isLeaseOver, type LeaseBounds, noteEarlierLeases, noteLease, runLeaseMs } from "./workerLease";

export interface LooksOptions {
    readonly api: TaskWorkers;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
    readonly board: Board;
    readonly report: Reporter;
    /** Longest lease that a worker gives, in milliseconds. */
    readonly maxLeaseMs: number;
    /** Takes in one end; gives the submission that it changed. */
    applyEnd(worker: Worker, end: EndRow): SubmissionEntry | undefined;
    /** Resolves once a submission's progress is stored; false: the tenure has ended. */
    save(entry: SubmissionEntry): Promise<boolean>;
    drop(run: Run, cause: DropCause, detail: string): void;
    sendStops(worker: Worker): void;
    onFenced(): void;
    onLifeEnded(worker: Worker, reason: string): void;
    /** Another life of the worker, under the same id and address, has answered. */
    onOtherLife(worker: Worker, bornMs: number): void;
    onListed(worker: Worker): void;
    onChange(): void;
}

export interface Looks {
    /** Follows a worker while it runs anything or does not answer, and until it has been asked once. */
    follow(worker: Worker): void;
    /** Asks a worker at once what it runs, beside a look that waits for an end. */
    lookNow(worker: Worker): void;
    stop(): void;
}

/** How long a look waits for an end, in milliseconds; also bounds the age of the lease's last extension. */
const lookWaitMs = 1000;

/** The same where fillers run beside serving tasks, whose latency has to be followed closely. */
const closeLookWaitMs = 400;

/** Pause after a look without an answer, in milliseconds. */
const retryMs = 250;

/** The same where nothing runs on the worker, in milliseconds: it is asked only to learn that it can be used again. */
const idleRetryMs = 1000;

/** Shortest time between two looks at one worker, in milliseconds, so that ends come in groups. Each look is paid for. */
const gatherMs = 25;

/** Questions beside the waiting look are gathered for this long, in milliseconds: a cancellation stops many runs at once. */
const askMs = 5;

/** Keeps leases alive and learns what runs and what has ended, one loop for each worker in use. */
export function createLooks(opts: LooksOptions): Looks {
    const { api, tenure, clocks, board } = opts;
    const followed = new Set<Worker>();
    const bounds: LeaseBounds = {
        leaseMs: Math.min(runLeaseMs, opts.maxLeaseMs),
        maxLeaseMs: opts.maxLeaseMs,
        tenureStartedAtMs: clocks.steadyMs(),
    };
    /** Workers that are about to be asked beside their waiting look. */
    const asked = new Set<Worker>();
    let isStopped = false;

    function isNeeded(worker: Worker): boolean {
        const isToBeAsked = worker.runList.kind === "unread" || !worker.isReachable;
        return !isIdle(worker) || (worker.isListed && isToBeAsked);
    }

    function isIdle(worker: Worker): boolean {
        return worker.runs.size === 0 && worker.strays === 0;
    }

    async function run(worker: Worker): Promise<void> {
        while (!isStopped && tenure.isValid() && isNeeded(worker) && isOnBoard(board, worker)) {
            opts.sendStops(worker);
            await look(worker, chooseWait(worker));
        }
        followed.delete(worker);
    }

    async function look(worker: Worker, waitMs: number): Promise<void> {
        const sentAtMs = clocks.steadyMs();
        const leaseUntilMs = chooseLease(worker, sentAtMs);
        const result = await api.look(worker, {
            token: tenure.token,
            // A worker that has not answered may have started again, and numbers its ends anew then.
            ackedEnd: worker.isReachable ? worker.ackedEnd : 0,
            leaseUntilMs,
            waitMs,
        });
        if (isStopped) {
            return;
        }
        await applyLook(worker, result, sentAtMs);
    }

    /**
     * A worker that does not answer gets no longer lease, so that the time at which all there has ended comes nearer. The
     * lease goes by the earliest that its clock can show: by the latest it would run up to a look's wait longer, and the
     * next owner could not bound it.
     */
    function chooseLease(worker: Worker, nowMs: number): number | undefined {
        const workerMs = earliestWorkerMs(worker, nowMs);
        if (workerMs === undefined || !worker.isReachable) {
            return undefined;
        }
        const leaseUntilMs = Math.floor(workerMs + bounds.leaseMs);
        noteLease(worker, leaseUntilMs);
        return leaseUntilMs;
    }

    function chooseWait(worker: Worker): number {
        if (worker.runList.kind === "unread" || !worker.isReachable) {
            return 0;
        }
        const runs = [...worker.runs];
        const isClose = runs.some(({ task }) => task.step.isFiller)
            && runs.some(({ task }) => task.step.targetLatencyMs > 0);
        return isClose || runs.some(({ phase }) => phase === "unconfirmed") ? closeLookWaitMs : lookWaitMs;
    }

    async function applyLook(worker: Worker, result: LookResult, sentAtMs: number): Promise<void> {
        switch (result.kind) {
            case "fenced":
                opts.onFenced();
                return;
            case "otherLife":
                opts.onLifeEnded(worker, "another life answered a look");
                return;
            case "noAnswer":
                noteSilence(worker, result.detail);
                await pause(isIdle(worker) && worker.runList.kind === "read" ? idleRetryMs : retryMs);
                return;
            case "listed":
                await takeIn(worker, result, sentAtMs);
        }
    }

    function noteSilence(worker: Worker, detail: string): void {
        if (worker.isReachable) {
            worker.isReachable = false;
            opts.report({ kind: "dependency", name: `worker ${worker.id}`, state: "lost", detail });
        }
        if (!isIdle(worker) && isLeaseOver(worker, bounds, clocks.steadyMs())) {
            [...worker.runs].forEach((run) =>
                opts.drop(run, DropCause.leaseOver, "its lease has run out on a silent worker")
            );
            worker.strays = 0;
            opts.onChange();
        }
    }

    async function takeIn(
        worker: Worker,
        result: Extract<LookResult, { kind: "listed"; }>,
        sentAtMs: number,
    ): Promise<void> {
        if (!isOnBoard(board, worker)) {
            // Its runs are on another record by now; listed here, they would be taken for strays.
            return;
        }
        if (result.bornMs !== undefined && result.bornMs !== worker.bornMs) {
            opts.onOtherLife(worker, result.bornMs);
            return;
        }
        noteClock(worker, {
            workerMs: result.workerMs,
            sentAtMs,
            receivedAtMs: clocks.steadyMs(),
            from: "list",
        });
        if (worker.runList.kind === "read" && sentAtMs < worker.runList.askedAtMs) {
            // A list asked for later has been taken in; the ends in this one are listed again.
            return;
        }
        noteListed(worker, result.workerMs, sentAtMs);
        if (!worker.isReachable) {
            worker.isReachable = true;
            opts.report({ kind: "dependency", name: `worker ${worker.id}`, state: "regained", detail: "" });
        }
        noteRunning(worker, result.running);
        const changed = applyEnds(worker, result.ended);
        dropAbsent(worker, result, sentAtMs);
        opts.onListed(worker);
        opts.onChange();
        const saved = await Promise.all([...changed].map(opts.save));
        if (saved.every(Boolean)) {
            worker.ackedEnd = Math.max(worker.ackedEnd, ...result.ended.map(({ number }) => number));
        }
        await pause(gatherMs);
    }

    function noteListed(worker: Worker, workerMs: number, askedAtMs: number): void {
        const { runList } = worker;
        switch (runList.kind) {
            case "unread":
                // Without this, a worker that is cut off right after a change of owners would be taken for empty while it
                // still runs what the owner before ordered.
                noteEarlierLeases(worker, workerMs, bounds);
                worker.runList = { kind: "read", firstReadAtMs: clocks.steadyMs(), askedAtMs };
                return;
            case "read":
                worker.runList = { ...runList, askedAtMs };
        }
    }

    function noteRunning(worker: Worker, rows: readonly RunningRow[]): void {
        let strays = 0;
        for (const row of rows) {
            const task = findTask(board, row.task);
            const run = task?.runs.find((known) => known.number === row.run && known.worker === worker);
            if (run === undefined) {
                strays++;
                noteReappeared(worker, task, row.run, "running");
                opts.report({ kind: "stray", task: row.task, run: row.run, worker: worker.id });
                void api.stop(worker, row.task, row.run, tenure.token);
                continue;
            }
            noteProgress(run, row);
        }
        worker.strays = strays;
    }

    /** Tells, once, of a run that was given up and ran on all the same. */
    function noteReappeared(worker: Worker, task: Task | undefined, number: number, state: string): void {
        if (task?.droppedRuns.delete(number) === true) {
            const { name, lastRun } = task;
            opts.report({ kind: "runReappeared", task: name, run: number, worker: worker.id, state, lastRun });
        }
    }

    function noteProgress(run: Run, row: RunningRow): void {
        const nowMs = clocks.steadyMs();
        if (run.phase === "unconfirmed" || run.phase === "starting") {
            run.phase = "running";
        }
        run.seenAtMs ??= nowMs;
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

    function applyEnds(worker: Worker, ends: readonly EndRow[]): ReadonlySet<SubmissionEntry> {
        const changed = new Set<SubmissionEntry>();
        for (const end of ends) {
            if (end.number <= worker.ackedEnd) {
                continue;
            }
            noteReappeared(worker, findTask(board, end.task), end.run, end.how);
            const entry = opts.applyEnd(worker, end);
            opts.report({ kind: "end", task: end.task, run: end.run, worker: worker.id, how: end.how });
            if (entry !== undefined) {
                changed.add(entry);
            }
        }
        return changed;
    }

    /** What was ordered before the look and shows in neither list never ran and never will. */
    function dropAbsent(
        worker: Worker,
        { running, ended, areEndsComplete }: Extract<LookResult, { kind: "listed"; }>,
        sentAtMs: number,
    ): void {
        if (!areEndsComplete) {
            return;
        }
        const listed = new Set([...running, ...ended].map(({ task, run }) => `${task} ${run}`));
        for (const run of [...worker.runs]) {
            const isSettled = run.phase === "unconfirmed" || run.answeredAtMs <= sentAtMs;
            if (isSettled && !listed.has(`${run.task.name} ${run.number}`)) {
                opts.drop(run, DropCause.absent, "the worker does not have it");
            }
        }
    }

    return {
        follow(worker) {
            if (!isStopped && !followed.has(worker) && isNeeded(worker)) {
                followed.add(worker);
                void run(worker);
            }
        },
        lookNow(worker) {
            if (asked.has(worker)) {
                return;
            }
            asked.add(worker);
            setTimeout(() => {
                asked.delete(worker);
                if (!isStopped && tenure.isValid() && isOnBoard(board, worker)) {
                    void look(worker, 0);
                }
            }, askMs);
        },
        stop() {
            isStopped = true;
        },
    };
}
