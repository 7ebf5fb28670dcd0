import { mapUnits, type Units } from "./units";

/**
 * A boot that may get idle capacity. `idleTasks` is the number of tasks that it has capacity for beyond its present
 * need.
 */
export interface IdleCapacityRecipient {
    readonly boot: string;
    readonly idleTasks: number;
}

/**
 * Divides capacity that no task waits for, so that every boot, and so every availability zone, can start tasks while
 * it is partitioned from the others. Levels the number of idle tasks over the boots. The other dimensions follow in
 * proportion to the tasks, because capacity for a task is unusable without its processors. Remainders stay free.
 */
export function spreadIdleCapacity(
    idle: Units,
    recipients: readonly IdleCapacityRecipient[],
): ReadonlyMap<string, Units> {
    if (idle.tasks === 0 || recipients.length === 0) {
        return new Map();
    }
    const least = Math.min(...recipients.map(({ idleTasks }) => idleTasks));
    const given = levelIdleTasks(idle.tasks, recipients.map(({ idleTasks }) => idleTasks - least));
    return new Map(recipients.map(({ boot }, at) => {
        const tasks = given[at] ?? 0;
        return [boot, mapUnits((name) => Math.floor(idle[name] * tasks / idle.tasks))];
    }));
}

/** Raises the lowest values first. Returns the amount added to each. */
function levelIdleTasks(capacity: number, held: readonly number[]): readonly number[] {
    const order = held.map((_, at) => at).sort((a, b) => (held[a] ?? 0) - (held[b] ?? 0));
    const level = findLevel(capacity, order.map((at) => held[at] ?? 0));
    const given = held.map((each) => Math.max(0, level - each));
    let left = capacity - given.reduce((sum, each) => sum + each, 0);
    for (const at of order) {
        if (left > 0 && (held[at] ?? 0) <= level) {
            given[at] = (given[at] ?? 0) + 1;
            left--;
        }
    }
    return given;
}

function findLevel(capacity: number, sorted: readonly number[]): number {
    let sum = capacity;
    let level = 0;
    for (const [at, each] of sorted.entries()) {
        sum += each;
        const candidate = Math.floor(sum / (at + 1));
        if (candidate < each) {
            break;
        }
        level = candidate;
    }
    return level;
}
