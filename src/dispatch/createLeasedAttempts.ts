import { randomUUID } from "node:crypto";
import type { Hold, Limits } from "../limits";
import type { Instance } from "../state";
import type { RunTaskRequest, TaskResult, WorkerAddress, Workers } from "../workers";
import type { WaitingTask } from "./waitingTask";

/** One attempt to run a task on one worker; it exists from before it is sent. */
export interface Attempt {
    readonly id: string;
    readonly waiting: WaitingTask;
    readonly instance: Instance;
    readonly hold: Hold;
    /** Why the worker was asked to stop it; `undefined` if it wasn't. */
    stopping: "cancelled" | "reclaimed" | undefined;
    /** When it was sent, in milliseconds of this entry's clock; `undefined` until then. */
    sentAtMs: number | undefined;
}

export interface LeasedAttemptsOptions {
    readonly boot: string;
    readonly workers: Workers;
    readonly limits: Limits;
    readonly leaseMs: number;
    /**
     * Called with the number of attempts whose hold is kept because the worker may still run the task, on each change.
     */
    readonly onLingering: (count: number) => void;
}

export interface LeasedAttempts {
    begin(waiting: WaitingTask, instance: Instance, hold: Hold): Attempt;
    /** Ends an attempt that was never sent and releases its hold. */
    drop(attempt: Attempt): void;
    /** Sends the attempt and resolves with its result. Keeps the hold while the worker may still run the task. */
    run(attempt: Attempt): Promise<TaskResult>;
    /**
     * Asks the worker to end the task: at once if it is canceled, at a checkpoint if it is reclaimed. For a canceled
     * task, the wait for the answer is aborted after a short time.
     */
    requestStop(attempt: Attempt, why: "cancelled" | "reclaimed"): void;
    /** Attempts that have begun and have no result yet, in the order in which they began. */
    running(): Iterable<Attempt>;
    /** Number of attempts that have not ended, including lingering ones. */
    count(): number;
    start(): void;
    stop(): void;
}

interface SentAttempt {
    readonly attempt: Attempt;
    readonly controller: AbortController;
    /** Latest time at which a run request or a renewal may have reached the worker. */
    lastRequestAtMs: number;
    /** When the latest renewal that the worker confirmed was sent, or when the attempt was sent. */
    renewedAtMs: number;
    /** Consecutive usage reports without this attempt since it began to linger. */
    absentReports: number;
    isLingering: boolean;
    isAborting: boolean;
}

const renewalsPerLease = 3;
/** Allows for clock drift of the worker, its interval of lease checks, and network delay. */
const leaseMarginMs = 1000;
/** How long a worker may take to answer after it was asked to stop a task, or reported that the task has ended. */
const answerGraceMs = 1500;
const lingerCheckMs = 1000;
/** A usage report can overtake a run request in flight, so the second consecutive report counts. */
const absentReportsNeeded = 2;

/**
 * Sends attempts, renews their leases, and holds limit capacity for attempts whose outcome is unknown.
 *
 * When an answer is lost, the task may still run. If its capacity in the team's limit were released at once, the
 * workers could run more of the team's tasks than the limit allows. The attempt therefore lingers: its capacity is held
 * until the worker no longer reports the task or the lease must have expired.
 */
export function createLeasedAttempts(opts: LeasedAttemptsOptions): LeasedAttempts {
    const active = new Set<Attempt>();
    const sentAttempts = new Map<string, SentAttempt>();
    let lingering = 0;
    let renewTimer: NodeJS.Timeout | undefined;
    let lingerTimer: NodeJS.Timeout | undefined;

    function createRunRequest(attempt: Attempt): RunTaskRequest {
        const { task, checkpoint } = attempt.waiting;
        return {
            attempt: attempt.id,
            team: task.team,
            pool: task.pool,
            assignmentNumber: attempt.instance.assignmentNumber,
            leaseMs: opts.leaseMs,
            holder: opts.boot,
            size: task.size,
            isRepeatable: task.repeatable,
            payload: task.payload,
            ...checkpoint === undefined ? {} : { checkpoint },
        };
    }

    async function run(attempt: Attempt): Promise<TaskResult> {
        const nowMs = Date.now();
        const record: SentAttempt = {
            attempt,
            controller: new AbortController(),
            lastRequestAtMs: nowMs,
            renewedAtMs: nowMs,
            absentReports: 0,
            isLingering: false,
            isAborting: false,
        };
        attempt.sentAtMs = nowMs;
        sentAttempts.set(attempt.id, record);
        const result = await opts.workers.runTask(
            addressOf(attempt.instance),
            createRunRequest(attempt),
            record.controller.signal,
        );
        active.delete(attempt);
        if (result.kind === "unknown") {
            linger(record);
        }
        else {
            finish(record);
        }
        return result;
    }

    function finish(record: SentAttempt): void {
        sentAttempts.delete(record.attempt.id);
        opts.limits.release(record.attempt.hold);
    }

    function linger(record: SentAttempt): void {
        record.isLingering = true;
        record.lastRequestAtMs = Date.now();
        opts.onLingering(++lingering);
        void opts.workers.stopTask(addressOf(record.attempt.instance), record.attempt.id, "stop");
    }

    function endLingering(record: SentAttempt): void {
        if (sentAttempts.has(record.attempt.id)) {
            opts.onLingering(--lingering);
            finish(record);
        }
    }

    async function renew(instance: Instance, records: readonly SentAttempt[]): Promise<void> {
        const startedAtMs = Date.now();
        const attempts = records.map(({ attempt }) => attempt.id);
        const renewal = { holder: opts.boot, attempts, leaseMs: opts.leaseMs };
        const answer = await opts.workers.renewLeases(addressOf(instance), renewal);
        records.forEach((record) => {
            record.lastRequestAtMs = Date.now();
        });
        answer.ifRight((ended) => {
            const over = new Set(ended);
            for (const record of records) {
                if (over.has(record.attempt.id)) {
                    abortSoon(record);
                }
                else {
                    record.renewedAtMs = startedAtMs;
                }
            }
        });
    }

    /**
     * Aborts the wait for an answer after a grace period. The attempt has ended at the worker, its lease must have
     * expired, or it was canceled, and its answer is in flight or lost. The grace period also lets this process read
     * answers that arrived while it was paused.
     */
    function abortSoon(record: SentAttempt): void {
        if (!record.isAborting) {
            record.isAborting = true;
            setTimeout(() => record.controller.abort(), answerGraceMs);
        }
    }

    function renewAll(): void {
        const byInstance = new Map<string, { instance: Instance; records: SentAttempt[]; }>();
        const nowMs = Date.now();
        for (const record of sentAttempts.values()) {
            if (record.isLingering) {
                continue;
            }
            if (nowMs > record.renewedAtMs + opts.leaseMs + leaseMarginMs) {
                abortSoon(record);
                continue;
            }
            const { instance } = record.attempt;
            const batch = byInstance.get(instance.name) ?? { instance, records: [] };
            batch.records.push(record);
            byInstance.set(instance.name, batch);
        }
        byInstance.forEach(({ instance, records }) => void renew(instance, records));
    }

    async function checkLingering(instance: Instance, records: readonly SentAttempt[]): Promise<void> {
        const usage = await opts.workers.readUsage(addressOf(instance));
        usage.ifRight(({ tasks }) => {
            const present = new Set(tasks.map(({ attempt }) => attempt));
            for (const record of records) {
                record.absentReports = present.has(record.attempt.id) ? 0 : record.absentReports + 1;
                if (record.absentReports >= absentReportsNeeded) {
                    endLingering(record);
                }
            }
        });
    }

    function checkAllLingering(): void {
        const byInstance = new Map<string, { instance: Instance; records: SentAttempt[]; }>();
        const nowMs = Date.now();
        for (const record of lingering === 0 ? [] : sentAttempts.values()) {
            if (!record.isLingering) {
                continue;
            }
            if (nowMs > record.lastRequestAtMs + opts.leaseMs + leaseMarginMs) {
                endLingering(record);
                continue;
            }
            const { instance } = record.attempt;
            const batch = byInstance.get(instance.name) ?? { instance, records: [] };
            batch.records.push(record);
            byInstance.set(instance.name, batch);
        }
        byInstance.forEach(({ instance, records }) => void checkLingering(instance, records));
    }

    return {
        begin(waiting, instance, hold) {
            const attempt: Attempt = {
                id: randomUUID(),
                waiting,
                instance,
                hold,
                stopping: undefined,
                sentAtMs: undefined,
            };
            active.add(attempt);
            return attempt;
        },
        drop(attempt) {
            active.delete(attempt);
            opts.limits.release(attempt.hold);
        },
        run,
        requestStop(attempt, why) {
            const record = sentAttempts.get(attempt.id);
            if (record === undefined || attempt.stopping === "cancelled") {
                return;
            }
            attempt.stopping = why;
            const mode = why === "cancelled" ? "stop" : "checkpoint";
            void opts.workers.stopTask(addressOf(attempt.instance), attempt.id, mode);
            if (why === "cancelled") {
                abortSoon(record);
            }
        },
        running: () => active,
        count: () => active.size + lingering,
        start() {
            renewTimer = setInterval(renewAll, opts.leaseMs / renewalsPerLease);
            lingerTimer = setInterval(checkAllLingering, lingerCheckMs);
        },
        stop() {
            clearInterval(renewTimer);
            clearInterval(lingerTimer);
        },
    };
}

function addressOf({ name, url }: Instance): WorkerAddress {
    return { instance: name, url };
}
