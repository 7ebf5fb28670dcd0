import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import type { Run, Worker } from "../schedule";
import { DropCause } from "./dropCause";
import type { StartResult, WorkerApi } from "./workerApi";
import { earliestWorkerMs, maxLocalMs, recordClockReading } from "./workerClock";
import { extendLeaseBound, startValidUntilMs } from "./workerLease";

export interface RunControlOptions {
    readonly api: WorkerApi;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
    readonly report: Reporter;
    /** Removes a run that can no longer run anywhere. */
    drop(run: Run, cause: DropCause, detail: string): void;
    /** A worker has seen a higher fencing token. */
    onFenced(): void;
    /** The worker's incarnation has ended; nothing runs there. */
    onIncarnationEnded(worker: Worker, reason: string): void;
    /** Permit of the advice service for a run; `undefined` where none is needed. */
    findTicket(run: Run): string | undefined;
    /** Polls a worker at once. */
    pollNow(worker: Worker): void;
    /** A worker has answered a start request; `tookMs` is the response time in milliseconds. */
    onStartAnswered(tookMs: number): void;
    /** Capacity or tasks have become available for planning. */
    onChange(): void;
}

export interface RunControl {
    /** Sends the start request of a recorded run. */
    start(run: Run): Promise<void>;
    /** Stops a run; its capacity stays taken until the worker lists the end. */
    stop(run: Run, reason: string): void;
    /** Stops a run that could continue; requests are sent only while the tenure may interrupt tasks. */
    interrupt(run: Run, reason: string): void;
    /** Sends again the stop requests that had no answer. */
    sendStops(worker: Worker): void;
}

/** Delay of a task after a worker has refused its start, in milliseconds. */
const refusedDelayMs = 150;

/** How long a worker that reports itself unhealthy gets no new work, in milliseconds. */
const unhealthyPauseMs = 1500;

/** Sends start and stop requests to workers and applies the answers. */
export function createRunControl(opts: RunControlOptions): RunControl {
    const { api, tenure, clocks } = opts;

    function logRequest(run: Run, order: "start" | "stop", outcome: string): void {
        opts.report({
            kind: "order",
            order,
            task: run.task.name,
            run: run.number,
            worker: run.worker.id,
            token: tenure.token,
            waitedMs: Math.round(clocks.monotonicMs() - run.plannedAtMs),
            outcome,
        });
    }

    function delayTask(run: Run, delayMs: number): void {
        run.task.notBeforeMs = clocks.monotonicMs() + delayMs;
    }

    function applyStart(run: Run, worker: Worker, result: StartResult, sentAtMs: number, leaseUntilMs: number): void {
        switch (result.kind) {
            case "started":
                run.answeredAtMs = clocks.monotonicMs();
                run.phase = run.phase === "starting" ? "running" : run.phase;
                return;
            case "refused":
                if (result.reason === "unhealthy") {
                    worker.outcomes.quarantinedUntilMs = clocks.monotonicMs() + unhealthyPauseMs;
                }
                delayTask(run, refusedDelayMs);
                opts.drop(run, DropCause.refused, `the worker refused the start: ${result.reason}`);
                return;
            case "fenced":
                opts.onFenced();
                return;
            case "otherLife":
                opts.drop(run, DropCause.lifeEnded, "another incarnation of the worker answered the start request");
                opts.onIncarnationEnded(worker, "another incarnation answered a start request");
                return;
            case "noAnswer":
                resolveUnanswered(run, worker, sentAtMs, leaseUntilMs);
        }
    }

    /**
     * Marks a worker as unreachable after an unanswered call, so that it gets no new work until it answers another one. A
     * worker that has answered since stays reachable: it lost a single request, and without new work the whole machine
     * would be idle until its next list.
     */
    function markUnreachable(worker: Worker, sentAtMs: number): void {
        if (worker.answeredAtMs <= sentAtMs) {
            worker.isReachable = false;
        }
    }

    /**
     * Resolves a start without an answer, which may have started the run or may do so until its expiry.
     *
     * A list that shows the run resolves it. The answer to a stop resolves it sooner, but would end a serving task that has
     * started, at a time when others of its step may be unavailable. The run of such a task is left until a list requested
     * after the expiry shows it or does not. The expiry is on the clock of the called incarnation, so the run is stopped
     * all the same if it has passed to a later one.
     */
    function resolveUnanswered(run: Run, worker: Worker, sentAtMs: number, leaseUntilMs: number): void {
        if (run.firstListedAtMs !== undefined) {
            return;
        }
        markUnreachable(worker, sentAtMs);
        if (run.task.step.maxUnavailable > 0 && run.worker === worker) {
            const nowMs = clocks.monotonicMs();
            const leftMs = leaseUntilMs - (earliestWorkerMs(worker, nowMs) ?? 0);
            run.answeredAtMs = nowMs + maxLocalMs(leftMs);
            return;
        }
        stop(run, "the start request had no answer");
    }

    async function start(run: Run): Promise<void> {
        const { worker, task } = run;
        const nowMs = clocks.monotonicMs();
        const leaseUntilMs = startValidUntilMs(worker, nowMs);
        const isObsolete = run.phase !== "recording" || !tenure.isValid() || leaseUntilMs === undefined;
        if (isObsolete || worker.isDraining || worker.isEvacuated || task.entry.isCancelled) {
            opts.drop(
                run,
                DropCause.notOrdered,
                "no longer needed or allowed when its record had been written",
            );
            return;
        }
        run.phase = "starting";
        extendLeaseBound(worker, leaseUntilMs);
        const result = await api.start(worker, {
            task: task.name,
            run: run.number,
            payload: task.entry.submission.payload,
            checkpoint: run.checkpoint,
            leaseUntilMs,
            token: tenure.token,
            ticket: opts.findTicket(run),
        });
        if ("workerMs" in result && result.workerMs !== undefined) {
            const answeredAtMs = clocks.monotonicMs();
            recordClockReading(worker, {
                workerMs: result.workerMs,
                sentAtMs: nowMs,
                receivedAtMs: answeredAtMs,
                from: "start",
            });
            opts.onStartAnswered(answeredAtMs - nowMs);
        }
        logRequest(run, "start", result.kind === "refused" ? result.reason : result.kind);
        if (run.worker.runs.has(run)) {
            applyStart(run, worker, result, nowMs, leaseUntilMs);
            opts.onChange();
        }
    }

    function stop(run: Run, reason: string): void {
        run.isInterruption = false;
        requestStop(run, reason);
    }

    function interrupt(run: Run, reason: string): void {
        run.isInterruption ||= run.phase !== "stopping";
        requestStop(run, reason);
    }

    function requestStop(run: Run, reason: string): void {
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
        if (run.isStopSent || !tenure.isValid() || run.isInterruption && !tenure.mayInterrupt()) {
            return;
        }
        run.isStopSent = true;
        const { worker } = run;
        const sentAtMs = clocks.monotonicMs();
        const result = await api.stop(worker, run.task.name, run.number, tenure.token);
        logRequest(run, "stop", `${result.kind}: ${run.stopReason ?? ""}`);
        if (run.worker !== worker && result.kind !== "fenced") {
            // A later incarnation of the worker may have the run and is sent a stop request of its own.
            return;
        }
        switch (result.kind) {
            case "taken":
                run.answeredAtMs = clocks.monotonicMs();
                recordClockReading(worker, {
                    workerMs: result.workerMs,
                    sentAtMs,
                    receivedAtMs: run.answeredAtMs,
                    from: "stop",
                });
                if (run.firstListedAtMs === undefined) {
                    // The start was lost or is in flight. A list requested from now on resolves it; the task can restart.
                    opts.pollNow(run.worker);
                }
                return;
            case "fenced":
                opts.onFenced();
                return;
            case "otherLife":
                opts.onIncarnationEnded(worker, "another incarnation answered a stop request");
                return;
            case "noAnswer":
                run.isStopSent = false;
                markUnreachable(worker, sentAtMs);
                if (run.worker.isReachable && run.worker.runs.has(run)) {
                    void sendStop(run);
                }
        }
    }

    return {
        start,
        stop,
        interrupt,
        sendStops(worker) {
            for (const run of worker.runs) {
                if (run.phase === "stopping" && !run.isStopSent) {
                    void sendStop(run);
                }
            }
        },
    };
}
