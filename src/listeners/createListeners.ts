import type { Reporter } from "../logging";
import type { IntakeLimit } from "./connectionLoad";
import { createIntake } from "./createIntake";
import { createListener, type Listener, type ListenerOptions } from "./createListener";
import { createTurns } from "./createTurns";
import type { IntakeLimits } from "./intakeLimits";

/** The listeners of one process, which share the limits on what clients can make it hold. */
export interface Listeners {
    create(opts: ListenerOptions): Listener;
    /** Estimated memory that is held for clients, in bytes. */
    heldBytes(): number;
    /** Open connections by listener. */
    connections(): ReadonlyMap<string, number>;
    stop(): void;
}

/** Requests that all listeners begin in one turn of the event loop. */
const maxRequestsPerTurn = 64;

/** Longest interval of the check of time limits, in milliseconds. */
const maxTickMs = 500;

/** Ticks in the shortest time limit. */
const ticksPerLimit = 4;

/** Interval of the log lines on limits that were met, in milliseconds. */
const reportMs = 1000;

export function createListeners(limits: IntakeLimits, report: Reporter): Listeners {
    const met = new Map<string, { readonly listener: string; readonly limit: IntakeLimit; count: number; }>();
    const intake = createIntake({ limits, onLimit: countLimit });
    const turns = createTurns(maxRequestsPerTurn);
    const { maxHeadMs, maxBodyMs, maxUnreadMs, maxIdleMs } = limits;
    const tickMs = Math.min(maxTickMs, Math.min(maxHeadMs, maxBodyMs, maxUnreadMs, maxIdleMs) / ticksPerLimit);
    let tickedAtMs = performance.now();
    let reportedAtMs = tickedAtMs;
    const timer = setInterval(tick, tickMs).unref();

    function countLimit(listener: string, limit: IntakeLimit): void {
        const key = `${listener} ${limit}`;
        const counted = met.get(key);
        if (counted === undefined) {
            met.set(key, { listener, limit, count: 1 });
        }
        else {
            counted.count++;
        }
    }

    function tick(): void {
        const nowMs = performance.now();
        // While this process was suspended, its clients could not be read from.
        intake.tick(Math.min(nowMs - tickedAtMs, tickMs * 2));
        tickedAtMs = nowMs;
        if (nowMs - reportedAtMs >= reportMs) {
            reportedAtMs = nowMs;
            met.forEach((counted) => report({ kind: "clientLimit", ...counted }));
            met.clear();
        }
    }

    return {
        create: (opts) => createListener({ ...opts, intake, turns }),
        heldBytes: intake.heldBytes,
        connections: intake.connections,
        stop: () => clearInterval(timer),
    };
}
