import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import type { Run, Worker } from "../schedule";
import { DropCause } from "./dropCause";
import type { StartResult, TaskWorkers } from "./taskWorkers";
import { earliestWorkerMs, longestMs, noteClock } from "./workerClock";
import { noteLease, startValidUntilMs } from "./workerLease";

export interface RunsOptions {
    readonly api: TaskWorkers;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
    readonly report: Reporter;
    /** Removes a run of which nothing can run any more. */
    drop(run: Run, cause: DropCause, detail: string): void;
    /** A worker has seen a higher token. */
    onFenced(): void;
    /** The life of the worker has ended; nothing runs there. */
    onLifeEnded(worker: Worker, reason: string): void;
    /** Permission of the advice service for a run; `undefined` where none is needed. */
    findTicket(run: Run): string | undefined;
    /** Asks a worker at once what it runs. */
    lookNow(worker: Worker): void;
    /** A worker has answered a start; the time that it took, in milliseconds. */
    onStartAnswered(tookMs: number): void;
    /** Room or tasks have become free. */
    onChange(): void;
}

export interface Runs {
    /** Sends the order of a recorded run. */
    start(run: Run): Promise<void>;
    /** Decides a stop; the room stays taken until the worker lists the end. */
    stop(run: Run, reason: string): void;
    /** Sends stops that have had no answer. */
    sendStops(worker: Worker): void;
}

/** Pause of a task after a start that a worker refused, in milliseconds. */
const refusedPauseMs = 150;

/** A worker that says that it is unhealthy gets no new work for this long, in milliseconds. */
const unhealthyPauseMs = 1500;

/** Sends starts and stops, and takes in their answers. */
export function createRuns(opts: RunsOptions): Runs {
    const { api, tenure, clocks } = opts;

    function orderLog(run: Run, order: "start" | "stop", outcome: string): void {
        opts.report({
            kind: "order",
            order,
            task: run.task.name,
            run: run.number,
            worker: run.worker.id,
            token: tenure.token,
            waitedMs: Math.round(clocks.steadyMs() - run.plannedAtMs),
            outcome,
        });
    }

    function pauseTask(run: Run, pauseMs: number): void {
        run.task.notBeforeMs = clocks.steadyMs() + pauseMs;
    }

    function applyStart(run: Run, worker: Worker, result: StartResult, sentAtMs: number, leaseUntilMs: number): void {
        switch (result.kind) {
            case "started":
                run.answeredAtMs = clocks.steadyMs();
                run.phase = run.phase === "starting" ? "running" : run.phase;
                return;
            case "refused":
                if (result.reason === "unhealthy") {
                    worker.outcomes.quarantinedUntilMs = clocks.steadyMs() + unhealthyPauseMs;
                }
                pauseTask(run, refusedPauseMs);
                opts.drop(run, DropCause.refused, `the worker refused the start: ${result.reason}`);
                return;
            case "fenced":
                opts.onFenced();
                return;
            case "otherLife":
                opts.drop(run, DropCause.lifeEnded, "another life answered the start");
                opts.onLifeEnded(worker, "another life answered a start");
                return;
            case "noAnswer":
                settleUnanswered(run, worker, sentAtMs, leaseUntilMs);
        }
    }

    /**
     * A worker that leaves a call unanswered gets no new work until it has answered another. One that has answered since
     * lost a single order; shut out for it, the whole machine would stand idle until its next list.
     */
    function noteSilence(worker: Worker, sentAtMs: number): void {
        if (worker.answeredAtMs <= sentAtMs) {
            worker.isReachable = false;
        }
    }

    /**
     * A start without an answer may have begun, or begin until its time is over. A list that shows it settles it. The
     * answer to a stop does so as well, and sooner; but a serving task that has begun would be ended by it, while others
     * of its step may be away. Such a run is left until a list asked for after its time shows it or does not; that time is
     * on the clock of the life that was called, so with a later life it is stopped all the same.
     */
    function settleUnanswered(run: Run, worker: Worker, sentAtMs: number, leaseUntilMs: number): void {
        if (run.seenAtMs !== undefined) {
            return;
        }
        noteSilence(worker, sentAtMs);
        if (run.task.step.maxUnavailable > 0 && run.worker === worker) {
            const nowMs = clocks.steadyMs();
            const leftMs = leaseUntilMs - (earliestWorkerMs(worker, nowMs) ?? 0);
            run.answeredAtMs = nowMs + longestMs(leftMs);
            return;
        }
        stop(run, "the start was not answered");
    }

    async function start(run: Run): Promise<void> {
        const { worker, task } = run;
        const nowMs = clocks.steadyMs();
        const leaseUntilMs = startValidUntilMs(worker, nowMs);
        const isStale = run.phase !== "recording" || !tenure.isValid() || leaseUntilMs === undefined;
        if (isStale || worker.isDraining || worker.isEvacuated || task.owner.isCancelled) {
            opts.drop(
                run,
                DropCause.notOrdered,
                "it was not needed or not allowed any more when its record was written",
            );
            return;
        }
        run.phase = "starting";
        noteLease(worker, leaseUntilMs);
        const result = await api.start(worker, {
            task: task.name,
            run: run.number,
            payload: task.owner.submission.payload,
            checkpoint: run.checkpoint,
            leaseUntilMs,
            token: tenure.token,
            ticket: opts.findTicket(run),
        });
        if ("workerMs" in result && result.workerMs !== undefined) {
            const answeredAtMs = clocks.steadyMs();
            noteClock(worker, {
                workerMs: result.workerMs,
                sentAtMs: nowMs,
                receivedAtMs: answeredAtMs,
                from: "start",
            });
            opts.onStartAnswered(answeredAtMs - nowMs);
        }
        orderLog(run, "start", result.kind === "refused" ? result.reason : result.kind);
        if (run.worker.runs.has(run)) {
            applyStart(run, worker, result, nowMs, leaseUntilMs);
            opts.onChange();
        }
    }

    function stop(run: Run, reason: string): void {
        if (run.phase === "recording") {
            opts.drop(run, DropCause.notOrdered, reason);
            return;
        }
        if (run.phase !== "stopping") {
            run.phase = "stopping";
            run.stopReason = reason;
            run.isStopSent = false;
        }
        void sendStop(run);
    }

    async function sendStop(run: Run): Promise<void> {
        if (run.isStopSent || !tenure.isValid()) {
            return;
        }
        run.isStopSent = true;
        const { worker } = run;
        const sentAtMs = clocks.steadyMs();
        const result = await api.stop(worker, run.task.name, run.number, tenure.token);
        orderLog(run, "stop", `${result.kind}: ${run.stopReason ?? ""}`);
        if (run.worker !== worker && result.kind !== "fenced") {
            // A later life of the worker may have the run; it is sent a stop of its own.
            return;
        }
        switch (result.kind) {
            case "taken":
                run.answeredAtMs = clocks.steadyMs();
                noteClock(worker, {
                    workerMs: result.workerMs,
                    sentAtMs,
                    receivedAtMs: run.answeredAtMs,
                    from: "stop",
                });
                if (run.seenAtMs === undefined) {
                    // Its start was lost or is on its way; a list from now on settles it, and the task can start again.
                    opts.lookNow(run.worker);
                }
                return;
            case "fenced":
                opts.onFenced();
                return;
            case "otherLife":
                opts.onLifeEnded(worker, "another life answered a stop");
                return;
            case "noAnswer":
                run.isStopSent = false;
                noteSilence(worker, sentAtMs);
                if (run.worker.isReachable && run.worker.runs.has(run)) {
                    void sendStop(run);
                }
        }
    }

    return {
        start,
        stop,
        sendStops(worker) {
            for (const run of worker.runs) {
                if (run.phase === "stopping" && !run.isStopSent) {
                    void sendStop(run);
                }
            }
        },
    };
}
