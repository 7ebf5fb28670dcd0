import { pause } from "../clock";
import type { Configuration } from "../configuration";
import type { Limits } from "../limits";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import type { IndexedPool, PoolIndex } from "../pools";
import type { Offers, Shares } from "../shares";
import type { Instance } from "../state";
import type { Workers } from "../workers";
import { type Choice, chooseWorker, type ChooseWorkerOptions, type Wanted } from "./chooseWorker";
import { createAttempts, type Freed } from "./createAttempts";
import { createTaskQueues, type QueueBounds, type TeamQueue } from "./createTaskQueues";
import { createTries } from "./createTries";
import { createUsageReader } from "./createUsageReader";
import { createWaitingRoom } from "./createWaitingRoom";
import { createWorkerHealth } from "./createWorkerHealth";
import { createWorkerLoads } from "./createWorkerLoads";
import type { Dispatch } from "./dispatch";
import { findOwnReclaims } from "./findOwnReclaims";
import { offerSchema, offerTopic } from "./messages";
import type { WaitingTask } from "./waitingTask";

export interface DispatchOptions {
    readonly boot: string;
    readonly configuration: Pick<Configuration, "state" | "onChange">;
    readonly limits: Limits;
    readonly workers: Workers;
    readonly peers: Peers;
    readonly pools: PoolIndex;
    readonly shares: Shares;
    readonly report: Reporter;
    /** Lease of a task at its worker, in milliseconds; renewed at a third of it. */
    readonly leaseMs: number;
    readonly bounds: QueueBounds;
    /** Most tasks of this entry on one worker: its part of the worker's connections. */
    readonly tasksPerWorker: number;
    /** How often usage is read, in milliseconds. */
    readonly usageMs: number;
    /** True for an instance that the platform lists as leaving. */
    readonly isLeaving?: (instance: string) => boolean;
    /** Called with each worker that is set aside. */
    readonly onEjected?: (instance: string, pool: string) => void;
    /** Called with the tasks of other holders that are not connected, at one worker. */
    readonly onOrphans?: (instance: string, count: number) => void;
    /** From 0 up to 1; tests give a seeded one. */
    readonly random?: () => number;
}

/** Tasks of one team that are tried when the first is too large for what is free. */
const lookAhead = 4;
/** Waiting tasks of one team for which room is asked at once; one at a time, a burst would wait for as many moves. */
const demandAhead = 64;
/** After this wait the first task is no longer passed by smaller ones behind it, in milliseconds. */
const noPassingAfterMs = 1000;
const tickMs = 100;
const reclaimTickMs = 250;
const askRoomMs = 1000;
const stopPollMs = 50;

/** Queues tasks by team, takes them in fair order, and runs each to one end. */
export function createDispatch(opts: DispatchOptions): Dispatch {
    const { pools, shares, limits, report } = opts;
    const queues = createTaskQueues(opts.bounds);
    const loads = createWorkerLoads();
    const health = createWorkerHealth();
    /** Pools in which no slot was free when last looked. */
    const full = new Set<string>();
    const dirty = new Map<string, Freed[]>();
    const seenZones = new Set<string>();
    let reachableZones = new Set<string>();
    let lingering = 0;
    let timers: readonly NodeJS.Timeout[] = [];

    const tries = createTries({
        boot: opts.boot,
        workers: opts.workers,
        limits,
        leaseMs: opts.leaseMs,
        onLingering: (count) => {
            lingering = count;
        },
    });
    const room = createWaitingRoom({
        pools,
        limits,
        queues,
        shares,
        report,
        onArrival: (pool) => markDirty(pool),
        onCancelRunning(waiting) {
            for (const one of tries.running()) {
                if (one.waiting === waiting) {
                    tries.stopOne(one, "cancelled");
                }
            }
        },
    });
    const attempts = createAttempts({
        pools,
        shares,
        report,
        tries,
        room,
        loads,
        health,
        onEjected: (instance, pool) => opts.onEjected?.(instance, pool),
        onFreed(pool, freed) {
            full.delete(pool);
            markDirty(pool, freed);
        },
    });
    const usage = createUsageReader({
        peers: opts.peers,
        workers: opts.workers,
        pools,
        state: () => opts.configuration.state(),
        usageMs: opts.usageMs,
        onUse(instance, use) {
            loads.noteOthers(instance.name, use);
            loads.noteReached(instance.name);
            wake(instance.pool);
        },
        onLeaving: (instance) => loads.avoid(instance, "leaving"),
        onOrphans: (instance, count) => opts.onOrphans?.(instance.name, count),
    });
    const choosing: ChooseWorkerOptions = {
        loads,
        health,
        tasksPerWorker: opts.tasksPerWorker,
        isLeaving: opts.isLeaving ?? (() => false),
        isZoneReachable: (zone) => zone === opts.peers.self.zone || reachableZones.has(zone) || !seenZones.has(zone),
        random: opts.random ?? Math.random,
    };

    function wake(pool: string): void {
        full.delete(pool);
        markDirty(pool);
    }

    /** Looks at the pool again right after this turn of the event loop; several reasons are one look. */
    function markDirty(pool: string, freed?: Freed): void {
        if (dirty.size === 0) {
            void Promise.resolve().then(pumpDirty);
        }
        const all = dirty.get(pool) ?? [];
        dirty.set(pool, all);
        if (freed !== undefined) {
            all.push(freed);
        }
    }

    function pumpDirty(): void {
        const work = [...dirty];
        dirty.clear();
        work.forEach(([pool, freed]) => {
            pump(pool, freed, freed.some(({ isReclaimed }) => isReclaimed) ? "always" : "sometimes");
        });
    }

    /** Starts what may start now; offers slots that have become free here to entries whose turn it is. */
    function pump(name: string, freed: Freed[], offers: Offers): void {
        const pool = pools.find(name);
        const blocked = new Set<string>();
        while (pool !== undefined && !full.has(name)) {
            const teams = queues.ofPool(name).filter(({ team, lacksRoom }) => !lacksRoom && !blocked.has(team))
                .map(({ team }) => team);
            if (teams.length === 0 && freed.length === 0) {
                return;
            }
            const turn = shares.nextTurn(name, teams, freed.length > 0 ? offers : "none");
            switch (turn.kind) {
                case "nobody":
                    return;
                case "own":
                    if (!startNext(pool, turn.team)) {
                        blocked.add(turn.team);
                    }
                    break;
                case "peer": {
                    const slot = freed.pop();
                    if (slot === undefined) {
                        return;
                    }
                    offer(name, slot.instance, turn.team, turn.boot);
                    break;
                }
            }
        }
    }

    function offer(pool: string, instance: Instance, team: string, boot: string): void {
        shares.noteOffer(pool, team, boot);
        loads.noteTaken(instance.name);
        opts.peers.send(boot, offerTopic, { pool, instance: instance.name });
    }

    /** Starts the team's next task; false where none of it can start now. */
    function startNext(pool: IndexedPool, team: string): boolean {
        const queue = queues.find(pool.name, team);
        for (const waiting of queue?.first(lookAhead) ?? []) {
            const choice = chooseWorker(pool, wantedFor(waiting), choosing);
            switch (choice.kind) {
                case "chosen":
                    return startOn(queue!, waiting, choice);
                case "full":
                    full.add(pool.name);
                    return false;
                case "tooLarge":
                    if (Date.now() - waiting.arrivedAtMs > noPassingAfterMs) {
                        return false;
                    }
                    break;
                case "noneLeft":
                    endExhausted(pool, waiting);
                    break;
            }
        }
        return false;
    }

    /** Ends a task for which no worker is left because all have been tried. */
    function endExhausted(pool: IndexedPool, waiting: WaitingTask): void {
        const isTriedOnAll = pool.servingCount > 0
            && pool.serving.every(({ instances }) => instances.every(({ name }) => waiting.tried.has(name)));
        if (isTriedOnAll && room.take(waiting)) {
            room.refuse(waiting, "NO_WORKER", "every worker of the pool refused it or failed it");
        }
    }

    function startOn(queue: TeamQueue, waiting: WaitingTask, choice: Extract<Choice, { kind: "chosen"; }>): boolean {
        const { id, team, size } = waiting.task;
        const hold = limits.tryTake(team, size, id);
        if (hold === undefined) {
            queue.first(demandAhead).forEach(({ task }) => limits.noteDemand(task.team, task.size, task.id));
            waiting.lacksRoom = true;
            queue.lacksRoom = true;
            room.tell(queue);
            return false;
        }
        waiting.lacksRoom = false;
        room.take(waiting);
        queue.drained++;
        void attempts.attempt(waiting, choice, hold);
        return true;
    }

    function onRoom(team: string): void {
        for (const queue of queues.ofTeam(team)) {
            if (queue.lacksRoom) {
                queue.lacksRoom = false;
                room.tell(queue);
                markDirty(queue.pool);
            }
        }
    }

    /** Looks again at every pool in which something waits: avoidances and reports run out without a message. */
    function tick(): void {
        const connected = opts.peers.connected();
        reachableZones = new Set(connected.map(({ zone }) => zone));
        reachableZones.forEach((zone) => seenZones.add(zone));
        for (const pool of new Set([...queues.pools(), ...shares.contendedPools()])) {
            full.delete(pool);
            pump(pool, [], "none");
        }
    }

    /** Asks the limits again for every team that waits for room: a message that there is some may have been lost. */
    function askRoom(): void {
        queues.teams().forEach(onRoom);
    }

    function reclaim(): void {
        for (const pool of shares.contendedPools()) {
            const running = [...tries.running()].filter((one) => one.waiting.task.pool === pool);
            for (const { one, reason } of findOwnReclaims(pool, running, queues.ofPool(pool), shares)) {
                const { id: requestId, team } = one.waiting.task;
                const { attempt, instance: { name: instance } } = one;
                report({ kind: "reclaimed", requestId, attempt, team, pool, instance, reason });
                tries.stopOne(one, "reclaimed");
            }
        }
    }

    opts.peers.onMessage(offerTopic, (_from, body) => {
        const parsed = offerSchema.safeParse(body);
        if (parsed.success) {
            loads.noteFreed(parsed.data.instance);
            full.delete(parsed.data.pool);
            pump(parsed.data.pool, [], "none");
        }
    });

    return {
        run(request) {
            attempts.noteRequest();
            return room.admit(request);
        },
        runningCount: () => tries.count() + queues.count(),
        counts: () => ({ waiting: queues.count(), running: tries.count() - lingering, lingering }),
        start() {
            limits.onRoom(onRoom);
            tries.start();
            usage.start();
            timers = [setInterval(tick, tickMs), setInterval(reclaim, reclaimTickMs), setInterval(askRoom, askRoomMs)];
        },
        async stop() {
            while (tries.count() > 0) {
                await pause(stopPollMs);
            }
            timers.forEach((timer) => clearInterval(timer));
            usage.stop();
            tries.stop();
            room.stop();
        },
    };
}

function wantedFor({ task, tried }: WaitingTask): Wanted {
    return { size: task.size, tried, isRepeatable: task.repeatable };
}
