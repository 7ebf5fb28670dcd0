import type { TaskEnd } from "../../src/tasks";
import type { DispatchWorld } from "../../standins/dispatch";

/** What a caller sent and was told. */
export interface CallerRecord {
    readonly payload: string;
    readonly team: string;
    readonly repeatable: boolean;
    readonly ends: TaskEnd[];
}

/**
 * Watches the workers and the callers and knows the promises, nothing of how they are kept. Gives what was broken.
 */
export function createJudge(world: DispatchWorld, limitOf: (team: string) => number) {
    const records = new Map<string, CallerRecord>();
    const broken = new Set<string>();

    world.workers.onChange = () => {
        const running = new Map<string, number>();
        for (const { instance, slots, running: tasks } of world.workers.workers.values()) {
            if (tasks.size > slots) {
                broken.add(`${instance} runs more than its slots`);
            }
            for (const { order: { team } } of tasks.values()) {
                running.set(team, (running.get(team) ?? 0) + 1);
            }
        }
        running.forEach((count, team) => {
            if (count > limitOf(team)) {
                broken.add(`${team} runs more than its limit`);
            }
        });
    };

    function startsOf(payload: string): number {
        return world.workers.starts.filter(({ order }) => order.payload === payload).length;
    }

    function judgeRecord(record: CallerRecord): void {
        const { payload, repeatable, ends } = record;
        const starts = startsOf(payload);
        if (ends.length !== 1) {
            broken.add(`a task got ${ends.length} ends`);
        }
        if (!repeatable && starts > 1) {
            broken.add("a task that may not be repeated was started again");
        }
        for (const end of ends) {
            if (end.kind === "answered" && (end.body !== `done ${payload}` || starts === 0)) {
                broken.add("an answer that is not the task's own and whole");
            }
            if (end.kind === "problem" && end.problem.outcome === "not run" && starts > 0) {
                broken.add(`${end.problem.code} says "not run" of a task that was started`);
            }
        }
    }

    return {
        add(record: CallerRecord) {
            records.set(record.payload, record);
        },
        /** To be called when nothing waits or runs any more. */
        finish(tasksPerWorker: number): readonly string[] {
            records.forEach(judgeRecord);
            if (world.limits.heldCount() > 0) {
                broken.add("room in a limit was never given back");
            }
            if (world.mostOrdersUnderWay() > tasksPerWorker) {
                broken.add("more orders to one worker than the entry's part of its connections");
            }
            return [...broken];
        },
    };
}
