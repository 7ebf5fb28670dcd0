import { mapUnits, noUnits, type Units } from "./units";

/**
 * Divides room that nobody waits for, so that every boot, and with it every zone, can go on when it is cut off.
 * Tasks are levelled over the boots; the other dimensions follow the tasks in proportion, because room for a task
 * without room for its processors is of no use. What cannot be divided evenly stays free.
 */
export function shareSpare(
    spare: Units,
    slices: Readonly<Record<string, Units>>,
    boots: readonly string[],
): ReadonlyMap<string, Units> {
    if (spare.tasks === 0 || boots.length === 0) {
        return new Map();
    }
    const given = levelTasks(spare.tasks, boots.map((boot) => (slices[boot] ?? noUnits).tasks));
    return new Map(boots.map((boot, at) => {
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
