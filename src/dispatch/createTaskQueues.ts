import type { WaitingWork } from "../shares";
import type { TaskSize } from "../workers";
import type { WaitingTask } from "./waitingTask";

/** Tasks of one team that wait for one pool, in the order in which they start. */
export interface TeamQueue {
    readonly team: string;
    readonly pool: string;
    /** True if nothing of the team can start until its limit has free capacity again. */
    isLimitReached: boolean;
    /** Tasks taken out to start since this queue was last empty. */
    startedCount: number;
    /** When this queue last became non-empty, in milliseconds of this entry's clock. */
    backlogSinceMs: number;
    size(): number;
    /**
     * Returns up to `count` tasks from the front: urgent ones first, and in each group those that were requeued first.
     */
    peek(count: number): readonly WaitingTask[];
    /** The waiting work to announce to other entries; `undefined` if nothing could start even on a free worker. */
    waitingWork(): WaitingWork | undefined;
}

/** Maximum numbers of waiting tasks. */
export interface QueueBounds {
    readonly tasksPerTeam: number;
    readonly tasks: number;
}

export interface TaskQueues {
    /** Returns true if the bounds allow no more waiting task of the team. */
    isFull(team: string): boolean;
    add(task: WaitingTask): TeamQueue;
    /**
     * Requeues a task that was selected but could not run or has to run again, ahead of tasks that were never selected.
     */
    addInFront(task: WaitingTask): TeamQueue;
    /** Removes a task and returns its queue, or `undefined` if it was not waiting. */
    remove(task: WaitingTask): TeamQueue | undefined;
    find(pool: string, team: string): TeamQueue | undefined;
    ofPool(pool: string): readonly TeamQueue[];
    ofTeam(team: string): readonly TeamQueue[];
    /** Pools with waiting tasks. */
    pools(): readonly string[];
    /** Teams with waiting tasks. */
    teams(): readonly string[];
    count(): number;
}

type QueuePart = "urgentReturned" | "urgent" | "returned" | "normal";

interface MutableTeamQueue extends TeamQueue {
    readonly parts: Readonly<Record<QueuePart, Set<WaitingTask>>>;
    /** Number of urgent tasks, including requeued ones. */
    urgentTasks: number;
    readonly sum: { processors: number; memoryMb: number; accelerators: number; };
}

/**
 * Keeps a queue for each pool and team, bounded per team and in total. Sets keep insertion order and remove any task in
 * constant time.
 */
export function createTaskQueues(bounds: QueueBounds): TaskQueues {
    const pools = new Map<string, Map<string, MutableTeamQueue>>();
    const countByTeam = new Map<string, number>();
    let total = 0;

    function ensure(pool: string, team: string): MutableTeamQueue {
        const teams = pools.get(pool) ?? new Map<string, MutableTeamQueue>();
        pools.set(pool, teams);
        const queue = teams.get(team) ?? createTeamQueue(pool, team);
        teams.set(team, queue);
        return queue;
    }

    function insert(task: WaitingTask, part: QueuePart): MutableTeamQueue {
        const { pool, team, size } = task.task;
        const queue = ensure(pool, team);
        if (queue.size() === 0) {
            queue.backlogSinceMs = Date.now();
            queue.startedCount = 0;
        }
        queue.parts[part].add(task);
        queue.urgentTasks += task.task.urgent ? 1 : 0;
        addTo(queue.sum, size, 1);
        total++;
        countByTeam.set(team, (countByTeam.get(team) ?? 0) + 1);
        return queue;
    }

    return {
        isFull: (team) => total >= bounds.tasks || (countByTeam.get(team) ?? 0) >= bounds.tasksPerTeam,
        add: (task) => insert(task, task.task.urgent ? "urgent" : "normal"),
        addInFront: (task) => insert(task, task.task.urgent ? "urgentReturned" : "returned"),
        remove(task) {
            const { pool, team, size } = task.task;
            const queue = pools.get(pool)?.get(team);
            if (queue === undefined || !removeFrom(queue, task)) {
                return undefined;
            }
            addTo(queue.sum, size, -1);
            queue.urgentTasks -= task.task.urgent ? 1 : 0;
            total--;
            countByTeam.set(team, (countByTeam.get(team) ?? 1) - 1);
            if (queue.size() === 0) {
                pools.get(pool)?.delete(team);
            }
            return queue;
        },
        find: (pool, team) => pools.get(pool)?.get(team),
        ofPool: (pool) => [...pools.get(pool)?.values() ?? []],
        ofTeam: (team) => [...pools.values()].flatMap((teams) => teams.get(team) ?? []),
        pools: () => [...pools].filter(([, teams]) => teams.size > 0).map(([pool]) => pool),
        teams: () => [...countByTeam].filter(([, count]) => count > 0).map(([team]) => team),
        count: () => total,
    };
}

function createTeamQueue(pool: string, team: string): MutableTeamQueue {
    const parts = {
        urgentReturned: new Set<WaitingTask>(),
        urgent: new Set<WaitingTask>(),
        returned: new Set<WaitingTask>(),
        normal: new Set<WaitingTask>(),
    };
    const partsInOrder = Object.values(parts);
    const sum = { processors: 0, memoryMb: 0, accelerators: 0 };
    const queue: MutableTeamQueue = {
        team,
        pool,
        isLimitReached: false,
        startedCount: 0,
        backlogSinceMs: Date.now(),
        parts,
        urgentTasks: 0,
        sum,
        size: () => partsInOrder.reduce((sum, { size }) => sum + size, 0),
        peek(count) {
            const found: WaitingTask[] = [];
            for (const part of partsInOrder) {
                for (const task of part) {
                    if (found.length === count) {
                        return found;
                    }
                    found.push(task);
                }
            }
            return found;
        },
        waitingWork() {
            const tasks = queue.size();
            if (tasks === 0 || queue.isLimitReached) {
                return undefined;
            }
            const oldest = partsInOrder.flatMap((part) => [...firstOf(part)]);
            return {
                amounts: { tasks, ...sum },
                urgentTasks: queue.urgentTasks,
                oldestAtMs: Math.min(...oldest.map(({ arrivedAtMs }) => arrivedAtMs)),
            };
        },
    };
    return queue;
}

function firstOf(tasks: Set<WaitingTask>): readonly WaitingTask[] {
    const first = tasks.values().next();
    return first.done === true ? [] : [first.value];
}

function removeFrom({ parts }: MutableTeamQueue, task: WaitingTask): boolean {
    return Object.values(parts).some((part) => part.delete(task));
}

function addTo(sum: { processors: number; memoryMb: number; accelerators: number; }, size: TaskSize, sign: 1 | -1) {
    sum.processors += sign * size.processors;
    sum.memoryMb += sign * size.memoryMb;
    sum.accelerators += sign * size.accelerators;
}
