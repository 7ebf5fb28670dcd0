import type { WaitingWork } from "../shares";
import type { TaskSize } from "../workers";
import type { WaitingTask } from "./waitingTask";

/** Tasks of one team that wait for one pool, in the order in which they start. */
export interface TeamQueue {
    readonly team: string;
    readonly pool: string;
    /** Nothing of the team can start before its limit has room again. */
    lacksRoom: boolean;
    /** Starts since this queue was last empty. */
    drained: number;
    /** When this queue last became other than empty, in milliseconds of this entry's clock. */
    backlogAtMs: number;
    size(): number;
    /** The first tasks, at most `count` of them: urgent ones, then the rest; of each those that came back first. */
    first(count: number): readonly WaitingTask[];
    /** What others are told; `undefined` where nothing could start even if a worker were free. */
    waitingWork(): WaitingWork | undefined;
}

export interface QueueBounds {
    readonly tasksPerTeam: number;
    readonly tasks: number;
}

export interface TaskQueues {
    /** True where the bounds leave no place for one more task of the team. */
    isFull(team: string): boolean;
    add(task: WaitingTask): TeamQueue;
    /** Puts a task back that had its turn and could not run. */
    addInFront(task: WaitingTask): TeamQueue;
    /** Takes a task out; gives its queue, or `undefined` where it was not waiting. */
    remove(task: WaitingTask): TeamQueue | undefined;
    find(pool: string, team: string): TeamQueue | undefined;
    ofPool(pool: string): readonly TeamQueue[];
    ofTeam(team: string): readonly TeamQueue[];
    /** Pools for which something waits. */
    pools(): readonly string[];
    /** Teams of which something waits. */
    teams(): readonly string[];
    count(): number;
}

type QueuePart = "urgentReturned" | "urgent" | "returned" | "normal";

interface OwnQueue extends TeamQueue {
    readonly parts: Readonly<Record<QueuePart, Set<WaitingTask>>>;
    /** Urgent tasks, returned ones included. */
    urgentTasks: number;
    readonly sum: { processors: number; memoryMb: number; accelerators: number; };
}

/** Queues by pool and team, bounded by team and in total. Sets keep the order and let any task leave at once. */
export function createTaskQueues(bounds: QueueBounds): TaskQueues {
    const pools = new Map<string, Map<string, OwnQueue>>();
    const byTeam = new Map<string, number>();
    let total = 0;

    function ensure(pool: string, team: string): OwnQueue {
        const teams = pools.get(pool) ?? new Map<string, OwnQueue>();
        pools.set(pool, teams);
        const queue = teams.get(team) ?? createTeamQueue(pool, team);
        teams.set(team, queue);
        return queue;
    }

    function insert(task: WaitingTask, part: QueuePart): OwnQueue {
        const { pool, team, size } = task.task;
        const queue = ensure(pool, team);
        if (queue.size() === 0) {
            queue.backlogAtMs = Date.now();
            queue.drained = 0;
        }
        queue.parts[part].add(task);
        queue.urgentTasks += task.task.urgent ? 1 : 0;
        addTo(queue.sum, size, 1);
        total++;
        byTeam.set(team, (byTeam.get(team) ?? 0) + 1);
        return queue;
    }

    return {
        isFull: (team) => total >= bounds.tasks || (byTeam.get(team) ?? 0) >= bounds.tasksPerTeam,
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
            byTeam.set(team, (byTeam.get(team) ?? 1) - 1);
            if (queue.size() === 0) {
                pools.get(pool)?.delete(team);
            }
            return queue;
        },
        find: (pool, team) => pools.get(pool)?.get(team),
        ofPool: (pool) => [...pools.get(pool)?.values() ?? []],
        ofTeam: (team) => [...pools.values()].flatMap((teams) => teams.get(team) ?? []),
        pools: () => [...pools].filter(([, teams]) => teams.size > 0).map(([pool]) => pool),
        teams: () => [...byTeam].filter(([, count]) => count > 0).map(([team]) => team),
        count: () => total,
    };
}

function createTeamQueue(pool: string, team: string): OwnQueue {
    const parts = {
        urgentReturned: new Set<WaitingTask>(),
        urgent: new Set<WaitingTask>(),
        returned: new Set<WaitingTask>(),
        normal: new Set<WaitingTask>(),
    };
    const inOrder = Object.values(parts);
    const sum = { processors: 0, memoryMb: 0, accelerators: 0 };
    const queue: OwnQueue = {
        team,
        pool,
        lacksRoom: false,
        drained: 0,
        backlogAtMs: Date.now(),
        parts,
        urgentTasks: 0,
        sum,
        size: () => inOrder.reduce((sum, { size }) => sum + size, 0),
        first(count) {
            const found: WaitingTask[] = [];
            for (const part of inOrder) {
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
            if (tasks === 0 || queue.lacksRoom) {
                return undefined;
            }
            const oldest = inOrder.flatMap((part) => [...firstOf(part)]);
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

function removeFrom({ parts }: OwnQueue, task: WaitingTask): boolean {
    return Object.values(parts).some((part) => part.delete(task));
}

function addTo(sum: { processors: number; memoryMb: number; accelerators: number; }, size: TaskSize, sign: 1 | -1) {
    sum.processors += sign * size.processors;
    sum.memoryMb += sign * size.memoryMb;
    sum.accelerators += sign * size.accelerators;
}
