import type { Instance } from "../state";
import type { TaskSize } from "../workers";

/** What this entry knows about the load of one worker. */
export interface WorkerLoad {
    /** Tasks of this entry that the worker runs or is about to run. */
    ownTasks: number;
    ownProcessors: number;
    ownMemoryMb: number;
    ownAccelerators: number;
    /** Tasks of other entries, as last reported; the number lags. */
    otherTasks: number;
    otherProcessors: number;
    otherMemoryMb: number;
    otherAccelerators: number;
    /** When the numbers of other entries expire, in milliseconds of this entry's clock. */
    otherUsageUntilMs: number;
    /** Why the worker gets no new task for now. */
    avoided: Avoidance | undefined;
    /** Consecutive failures to connect. */
    consecutiveUnreachable: number;
}

export type AvoidReason = "leaving" | "staleAssignment" | "unreachable";

export interface Avoidance {
    readonly reason: AvoidReason;
    /** When the avoidance ends, in milliseconds of this entry's clock. */
    readonly untilMs: number;
    /** The instance's assignment number at that time; a higher one ends the avoidance. */
    readonly assignmentNumber: number;
}

/** Usage of a worker by other entries, as the worker reported it. */
export interface OtherUsage extends TaskSize {
    readonly tasks: number;
}

export interface WorkerLoads {
    of(instance: string): WorkerLoad;
    /** Adds a task of this entry. */
    reserve(instance: string, size: TaskSize): void;
    /** Removes a task of this entry. */
    release(instance: string, size: TaskSize): void;
    /** Records a report of the usage by other entries. */
    recordOtherUsage(instance: string, use: OtherUsage): void;
    /** Records that the worker refused a task because all its slots are in use. */
    recordBusy(instance: Instance): void;
    /** Records that a slot of the worker was offered to another entry. */
    recordSlotOffered(instance: string): void;
    /** Records that a slot used by another entry has become free. */
    recordSlotFreed(instance: string): void;
    /** Sends no new task to the worker for a time that depends on the reason. */
    avoid(instance: Instance, reason: AvoidReason): void;
    isAvoided(instance: Instance): boolean;
    /** Records that the worker answered, which resets its connection backoff. */
    recordReachable(instance: string): void;
}

/**
 * How long a worker that is leaving or refused an outdated assignment number gets no new task if its assignment number
 * in the configuration doesn't increase.
 */
const leavingAvoidMs = 5000;
/** How long a usage report, and a refusal as busy, are taken as the state of the worker's slots. */
const maxReportAgeMs = 3000;
const maxBusyAgeMs = 300;
const firstUnreachableMs = 500;
const maxUnreachableMs = 10_000;

export function createWorkerLoads(): WorkerLoads {
    const loads = new Map<string, WorkerLoad>();

    function of(instance: string): WorkerLoad {
        const known = loads.get(instance);
        if (known !== undefined) {
            expireOtherUsage(known);
            return known;
        }
        const load = createLoad();
        loads.set(instance, load);
        return load;
    }

    function addOwn(load: WorkerLoad, size: TaskSize, sign: 1 | -1): void {
        load.ownTasks += sign;
        load.ownProcessors += sign * size.processors;
        load.ownMemoryMb += sign * size.memoryMb;
        load.ownAccelerators += sign * size.accelerators;
    }

    return {
        of,
        reserve: (instance, size) => addOwn(of(instance), size, 1),
        release: (instance, size) => addOwn(of(instance), size, -1),
        recordOtherUsage(instance, use) {
            const load = of(instance);
            load.otherTasks = use.tasks;
            load.otherProcessors = use.processors;
            load.otherMemoryMb = use.memoryMb;
            load.otherAccelerators = use.accelerators;
            load.otherUsageUntilMs = Date.now() + maxReportAgeMs;
        },
        recordBusy({ name, slots }) {
            const load = of(name);
            load.otherTasks = Math.max(load.otherTasks, slots - load.ownTasks);
            load.otherUsageUntilMs = Math.max(load.otherUsageUntilMs, Date.now() + maxBusyAgeMs);
        },
        recordSlotOffered(instance) {
            const load = of(instance);
            load.otherTasks++;
            load.otherUsageUntilMs = Math.max(load.otherUsageUntilMs, Date.now() + maxBusyAgeMs);
        },
        recordSlotFreed(instance) {
            const load = of(instance);
            load.otherTasks = Math.max(0, load.otherTasks - 1);
        },
        avoid(instance, reason) {
            const load = of(instance.name);
            const untilMs = Date.now() + avoidMs(load, reason);
            load.avoided = { reason, untilMs, assignmentNumber: instance.assignmentNumber };
        },
        isAvoided(instance) {
            const { avoided } = of(instance.name);
            return avoided !== undefined
                && avoided.assignmentNumber >= instance.assignmentNumber
                && Date.now() < avoided.untilMs;
        },
        recordReachable(instance) {
            of(instance).consecutiveUnreachable = 0;
        },
    };
}

function expireOtherUsage(load: WorkerLoad): void {
    if (load.otherTasks > 0 && Date.now() > load.otherUsageUntilMs) {
        load.otherTasks = 0;
        load.otherProcessors = 0;
        load.otherMemoryMb = 0;
        load.otherAccelerators = 0;
    }
}

function avoidMs(load: WorkerLoad, reason: AvoidReason): number {
    switch (reason) {
        case "leaving":
        case "staleAssignment":
            return leavingAvoidMs;
        case "unreachable":
            return Math.min(maxUnreachableMs, firstUnreachableMs * 2 ** load.consecutiveUnreachable++);
    }
}

function createLoad(): WorkerLoad {
    return {
        ownTasks: 0,
        ownProcessors: 0,
        ownMemoryMb: 0,
        ownAccelerators: 0,
        otherTasks: 0,
        otherProcessors: 0,
        otherMemoryMb: 0,
        otherAccelerators: 0,
        otherUsageUntilMs: 0,
        avoided: undefined,
        consecutiveUnreachable: 0,
    };
}
