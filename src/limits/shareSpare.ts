import { mapUnits, type Units } from "./units";

/** A boot that room may go to, with the tasks for which it has room that it does not need by its present demand. */
export interface SpareTaker {
    readonly boot: string;
    readonly idleTasks: number;
}

/**
 * Divides room that nobody waits for, so that every boot, and with it every zone, can go on when it is cut off.
 * Idle tasks are levelled over the boots; the other dimensions follow the tasks in proportion, because room for a task
 * without room for its processors is of no use. What cannot be divided evenly stays free.
 */
export function shareSpare(spare: Units, takers: readonly SpareTaker[]): ReadonlyMap<string, Units> {
    if (spare.tasks === 0 || takers.length === 0) {
        return new Map();
    }
    const least = Math.min(...takers.map(({ idleTasks }) => idleTasks));
    const given = levelTasks(spare.tasks, takers.map(({ idleTasks }) => idleTasks - least));
    return new Map(takers.map(({ boot }, at) => {
        const tasks = given[at] ?? 0;
        return [boot, mapUnits((name) => Math.floor(spare[name] * tasks / spare.tasks))];
    }));
}

/** Raises the lowest first; gives what each gets. */
function levelTasks(room: number, held: readonly number[]): readonly number[] {
    const order = held.map((_, at) => at).sort((a, b) => (held[a] ?? 0) - (held[b] ?? 0));
    const level = findLevel(room, order.map((at) => held[at] ?? 0));
    const given = held.map((each) => Math.max(0, level - each));
    let left = room - given.reduce((sum, each) => sum + each, 0);
    for (const at of order) {
        if (left > 0 && (held[at] ?? 0) <= level) {
            given[at] = (given[at] ?? 0) + 1;
            left--;
        }
    }
    return given;
}

function findLevel(room: number, sorted: readonly number[]): number {
    let sum = room;
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
