import { randomUUID } from "node:crypto";
import type { Hold, Limits } from "../limits";
import type { Instance } from "../state";
import type { TaskOrder, TaskResult, WorkerAddress, Workers } from "../workers";
import type { WaitingTask } from "./waitingTask";

/** One try of a task on one worker, from before it is sent. */
export interface Try {
    readonly attempt: string;
    readonly waiting: WaitingTask;
    readonly instance: Instance;
    readonly hold: Hold;
    /** Whether it was asked to stop, and why. */
    stopping: "cancelled" | "reclaimed" | undefined;
    /** When it was sent, in milliseconds of this entry's clock; `undefined` before. */
    sentAtMs: number | undefined;
}

export interface TriesOptions {
    readonly boot: string;
    readonly workers: Workers;
    readonly limits: Limits;
    readonly leaseMs: number;
    /** Called with each hold that is kept because the worker may still run the task, and when it is given back. */
    readonly onLingering: (count: number) => void;
}

export interface Tries {
    begin(waiting: WaitingTask, instance: Instance, hold: Hold): Try;
    /** Ends a try of which nothing was sent. */
    drop(one: Try): void;
    /** Sends it; resolves with what is known in the end. Keeps the hold while the worker may still run the task. */
    run(one: Try): Promise<TaskResult>;
    /** Asks the worker to end the task; gives up waiting for its answer after a while. */
    stopOne(one: Try, why: "cancelled" | "reclaimed"): void;
    running(): Iterable<Try>;
    /** Tries that a worker may be running, lingering ones included. */
    count(): number;
    start(): void;
    stop(): void;
}

interface Sent {
    readonly one: Try;
    readonly controller: AbortController;
    /** Latest moment at which an order or a renewal may have reached the worker. */
    touchedAtMs: number;
    /** Latest renewal that the worker confirmed, or the moment of sending. */
    renewedAtMs: number;
    /** Times in a row that a usage report without this attempt came after it was given up. */
    absentTimes: number;
    isLingering: boolean;
    isGivenUp: boolean;
}

const renewalsPerLease = 3;
/** Lets a worker's clock, its own check of leases and the way there be late. */
const marginMs = 1000;
/** How long a worker may take to answer after it was asked to stop a task, or said that the task is over. */
const answerGraceMs = 1500;
const lingerCheckMs = 1000;
/** A usage report may overtake an order that is on its way; the second one in a row counts. */
const absentTimesNeeded = 2;

/**
 * Sends tries, renews their leases, and keeps the room of those whose end is not known.
 *
 * An answer that is lost says nothing of the task: it may run on. If its room in the team's limit were given back at
 * once, the team would run more than its limit allows, seen as more tasks at the workers than the limit. The room is
 * kept until the worker no longer reports the task or its lease must have run out.
 */
export function createTries(opts: TriesOptions): Tries {
    const begun = new Set<Try>();
    const sent = new Map<string, Sent>();
    let lingering = 0;
    let renewTimer: NodeJS.Timeout | undefined;
    let lingerTimer: NodeJS.Timeout | undefined;

    function createOrder(one: Try): TaskOrder {
        const { task, checkpoint } = one.waiting;
        return {
            attempt: one.attempt,
            team: task.team,
            pool: task.pool,
            assignmentNumber: one.instance.assignmentNumber,
            leaseMs: opts.leaseMs,
            holder: opts.boot,
            size: task.size,
            isRepeatable: task.repeatable,
            payload: task.payload,
            ...checkpoint === undefined ? {} : { checkpoint },
        };
    }

    async function run(one: Try): Promise<TaskResult> {
        const nowMs = Date.now();
        const entry: Sent = {
            one,
            controller: new AbortController(),
            touchedAtMs: nowMs,
            renewedAtMs: nowMs,
            absentTimes: 0,
            isLingering: false,
            isGivenUp: false,
        };
        one.sentAtMs = nowMs;
        sent.set(one.attempt, entry);
        const result = await opts.workers.runTask(addressOf(one.instance), createOrder(one), entry.controller.signal);
        begun.delete(one);
        if (result.kind === "unknown") {
            linger(entry);
        }
        else {
            finish(entry);
        }
        return result;
    }

    function finish(entry: Sent): void {
        sent.delete(entry.one.attempt);
        opts.limits.release(entry.one.hold);
    }

    function linger(entry: Sent): void {
        entry.isLingering = true;
        entry.touchedAtMs = Date.now();
        opts.onLingering(++lingering);
        void opts.workers.stopTask(addressOf(entry.one.instance), entry.one.attempt, "stop");
    }

    function endLingering(entry: Sent): void {
        if (sent.has(entry.one.attempt)) {
            opts.onLingering(--lingering);
            finish(entry);
        }
    }

    async function renew(instance: Instance, entries: readonly Sent[]): Promise<void> {
        const startedAtMs = Date.now();
        const attempts = entries.map(({ one }) => one.attempt);
        const renewal = { holder: opts.boot, attempts, leaseMs: opts.leaseMs };
        const answer = await opts.workers.renewLeases(addressOf(instance), renewal);
        entries.forEach((entry) => {
            entry.touchedAtMs = Date.now();
        });
        answer.ifRight((ended) => {
            const over = new Set(ended);
            for (const entry of entries) {
                if (over.has(entry.one.attempt)) {
                    giveUpSoon(entry);
                }
                else {
                    entry.renewedAtMs = startedAtMs;
                }
            }
        });
    }

    /**
     * The worker runs it no more; its answer is on its way or lost. The wait also lets answers be read that came while
     * this process was paused.
     */
    function giveUpSoon(entry: Sent): void {
        if (!entry.isGivenUp) {
            entry.isGivenUp = true;
            setTimeout(() => entry.controller.abort(), answerGraceMs);
        }
    }

    function renewAll(): void {
        const byInstance = new Map<string, { instance: Instance; entries: Sent[]; }>();
        const nowMs = Date.now();
        for (const entry of sent.values()) {
            if (entry.isLingering) {
                continue;
            }
            if (nowMs > entry.renewedAtMs + opts.leaseMs + marginMs) {
                giveUpSoon(entry);
                continue;
            }
            const { instance } = entry.one;
            const batch = byInstance.get(instance.name) ?? { instance, entries: [] };
            batch.entries.push(entry);
            byInstance.set(instance.name, batch);
        }
        byInstance.forEach(({ instance, entries }) => void renew(instance, entries));
    }

    async function checkLingering(instance: Instance, entries: readonly Sent[]): Promise<void> {
        const usage = await opts.workers.readUsage(addressOf(instance));
        usage.ifRight(({ tasks }) => {
            const present = new Set(tasks.map(({ attempt }) => attempt));
            for (const entry of entries) {
                entry.absentTimes = present.has(entry.one.attempt) ? 0 : entry.absentTimes + 1;
                if (entry.absentTimes >= absentTimesNeeded) {
                    endLingering(entry);
                }
            }
        });
    }

    function checkAllLingering(): void {
        const byInstance = new Map<string, { instance: Instance; entries: Sent[]; }>();
        const nowMs = Date.now();
        for (const entry of lingering === 0 ? [] : sent.values()) {
            if (!entry.isLingering) {
                continue;
            }
            if (nowMs > entry.touchedAtMs + opts.leaseMs + marginMs) {
                endLingering(entry);
                continue;
            }
            const { instance } = entry.one;
            const batch = byInstance.get(instance.name) ?? { instance, entries: [] };
            batch.entries.push(entry);
            byInstance.set(instance.name, batch);
        }
        byInstance.forEach(({ instance, entries }) => void checkLingering(instance, entries));
    }

    return {
        begin(waiting, instance, hold) {
            const one: Try = {
                attempt: randomUUID(),
                waiting,
                instance,
                hold,
                stopping: undefined,
                sentAtMs: undefined,
            };
            begun.add(one);
            return one;
        },
        drop(one) {
            begun.delete(one);
            opts.limits.release(one.hold);
        },
        run,
        stopOne(one, why) {
            const entry = sent.get(one.attempt);
            if (entry === undefined || one.stopping === "cancelled") {
                return;
            }
            one.stopping = why;
            const mode = why === "cancelled" ? "stop" : "checkpoint";
            void opts.workers.stopTask(addressOf(one.instance), one.attempt, mode);
            if (why === "cancelled") {
                giveUpSoon(entry);
            }
        },
        running: () => begun,
        count: () => begun.size + lingering,
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
