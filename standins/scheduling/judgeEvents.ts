import type { WorkerEvent } from "./createFakeTaskWorkers";

/** The first start of a task beside another run of it, or after an end that the owner has taken note of. */
export function findDoubleRun(events: readonly WorkerEvent[]): string | undefined {
    const active = new Map<string, string>();
    const done = new Set<string>();
    for (const { kind, task, worker, run, isAcked, atMs } of events) {
        const name = `${worker} run ${run}`;
        switch (kind) {
            case "started": {
                const other = active.get(task);
                if (other !== undefined) {
                    return `${task} started as ${name} at ${atMs} beside ${other}`;
                }
                if (done.has(task)) {
                    return `${task} started as ${name} at ${atMs} after it was done`;
                }
                active.set(task, name);
                break;
            }
            case "stopOrdered":
                break;
            case "done":
                active.delete(task);
                if (isAcked) {
                    done.add(task);
                }
                break;
            case "failed":
            case "stopped":
            case "lapsed":
            case "broken":
            case "alone":
            case "crashed":
                active.delete(task);
        }
    }
    return undefined;
}

/** Most of the counted tasks that were away at once by order: being stopped, or stopped and not started again. */
export function countOrderedAway(
    events: readonly WorkerEvent[],
    isCounted: (task: string) => boolean = () => true,
): number {
    const away = new Set<string>();
    let most = 0;
    for (const { kind, task } of events) {
        if (kind === "stopOrdered" && isCounted(task)) {
            away.add(task);
            most = Math.max(most, away.size);
        }
        else if (kind === "started") {
            away.delete(task);
        }
    }
    return most;
}
