import type { Instance } from "../state";
import type { TaskSize } from "../workers";

/** What this entry knows of one worker's load. */
export interface WorkerLoad {
    /** Tasks of this entry that the worker runs or is about to. */
    ownTasks: number;
    ownProcessors: number;
    ownMemoryMb: number;
    ownAccelerators: number;
    /** Tasks of other entries, as last heard; it lags. */
    otherTasks: number;
    otherProcessors: number;
    otherMemoryMb: number;
    otherAccelerators: number;
    /** What was heard of others counts until then, in milliseconds of this entry's clock. */
    othersUntilMs: number;
    /** Why no new task goes there for now. */
    avoided: Avoidance | undefined;
    /** Refused connections in a row. */
    unreachableTimes: number;
}

export type AvoidReason = "leaving" | "staleAssignment" | "unreachable";

export interface Avoidance {
    readonly reason: AvoidReason;
    readonly untilMs: number;
    /** The instance's assignment number then; a higher one ends the avoidance. */
    readonly assignmentNumber: number;
}

/** Others' use of a worker, from its own report. */
export interface OtherUse extends TaskSize {
    readonly tasks: number;
}

export interface WorkerLoads {
    of(instance: string): WorkerLoad;
    take(instance: string, size: TaskSize): void;
    giveBack(instance: string, size: TaskSize): void;
    noteOthers(instance: string, use: OtherUse): void;
    /** The worker said that its slots are taken. */
    noteBusy(instance: Instance): void;
    /** A slot there has been offered to another entry. */
    noteTaken(instance: string): void;
    /** Somebody else's slot there has become free. */
    noteFreed(instance: string): void;
    avoid(instance: Instance, reason: AvoidReason): void;
    isAvoided(instance: Instance): boolean;
    /** The worker answered; it can be reached. */
    noteReached(instance: string): void;
}

/** How long a worker that said it is leaving gets nothing, where the configuration does not move on. */
const leavingMs = 5000;
/** How long a worker's report, or its refusal as busy, says something of its slots. */
const reportAgeMs = 3000;
const busyAgeMs = 300;
const firstUnreachableMs = 500;
const maxUnreachableMs = 10_000;

export function createWorkerLoads(): WorkerLoads {
    const loads = new Map<string, WorkerLoad>();

    function of(instance: string): WorkerLoad {
        const known = loads.get(instance);
        if (known !== undefined) {
            forgetOld(known);
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
        take: (instance, size) => addOwn(of(instance), size, 1),
        giveBack: (instance, size) => addOwn(of(instance), size, -1),
        noteOthers(instance, use) {
            const load = of(instance);
            load.otherTasks = use.tasks;
            load.otherProcessors = use.processors;
            load.otherMemoryMb = use.memoryMb;
            load.otherAccelerators = use.accelerators;
            load.othersUntilMs = Date.now() + reportAgeMs;
        },
        noteBusy({ name, slots }) {
            const load = of(name);
            load.otherTasks = Math.max(load.otherTasks, slots - load.ownTasks);
            load.othersUntilMs = Math.max(load.othersUntilMs, Date.now() + busyAgeMs);
        },
        noteTaken(instance) {
            const load = of(instance);
            load.otherTasks++;
            load.othersUntilMs = Math.max(load.othersUntilMs, Date.now() + busyAgeMs);
        },
        noteFreed(instance) {
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
        noteReached(instance) {
            of(instance).unreachableTimes = 0;
        },
    };
}

function forgetOld(load: WorkerLoad): void {
    if (load.otherTasks > 0 && Date.now() > load.othersUntilMs) {
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
            return leavingMs;
        case "unreachable":
            return Math.min(maxUnreachableMs, firstUnreachableMs * 2 ** load.unreachableTimes++);
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
        othersUntilMs: 0,
        avoided: undefined,
        unreachableTimes: 0,
    };
}
