import type { TaskEnd } from "../tasks";

/** A task that was accepted for later asking. */
export interface KeptTask {
    readonly id: string;
    readonly team: string;
    /** Cancels the task. */
    readonly controller: AbortController;
    readonly ended: Promise<TaskEnd>;
    end: TaskEnd | undefined;
}

export interface TaskTableOptions {
    readonly maxTasks: number;
    /** Characters of answers that are kept. */
    readonly maxAnswerChars: number;
    /** How long an ended task is kept, in milliseconds. */
    readonly keptMs: number;
}

/** Tasks accepted with `wait: false`, bounded in count, size and age. */
export interface TaskTable {
    /** Gives `undefined` where as many tasks as may be kept are under way. */
    add(id: string, team: string, run: (signal: AbortSignal) => Promise<TaskEnd>): KeptTask | undefined;
    find(id: string): KeptTask | undefined;
    size(): number;
    answerChars(): number;
}

export function createTaskTable(opts: TaskTableOptions): TaskTable {
    const tasks = new Map<string, KeptTask>();
    /** Ended tasks in the order of their ends. */
    const endedAtMs = new Map<string, number>();
    let chars = 0;

    function sizeOf(task: KeptTask): number {
        return task.end?.kind === "answered" ? task.end.body.length : 0;
    }

    function forget(id: string): void {
        const task = tasks.get(id);
        chars -= task === undefined ? 0 : sizeOf(task);
        tasks.delete(id);
        endedAtMs.delete(id);
    }

    function trim(roomFor: number): void {
        const keptSinceMs = performance.now() - opts.keptMs;
        for (const [id, atMs] of endedAtMs) {
            const isFull = chars > opts.maxAnswerChars || tasks.size + roomFor > opts.maxTasks;
            if (!isFull && atMs >= keptSinceMs) {
                return;
            }
            forget(id);
        }
    }

    function finish(task: KeptTask, end: TaskEnd): TaskEnd {
        task.end = end;
        chars += sizeOf(task);
        endedAtMs.set(task.id, performance.now());
        trim(0);
        return end;
    }

    return {
        add(id, team, run) {
            trim(1);
            if (tasks.size >= opts.maxTasks) {
                return undefined;
            }
            const controller = new AbortController();
            const ended = run(controller.signal).then((end) => finish(task, end));
            const task: KeptTask = { id, team, controller, ended, end: undefined };
            tasks.set(id, task);
            return task;
        },
        find: (id) => tasks.get(id),
        size: () => tasks.size,
        answerChars: () => chars,
    };
}
