import { pause } from "../clock";
import type { Configuration } from "../configuration";
import type { Limits } from "../limits";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import type { IndexedPool, PoolIndex } from "../pools";
import type { Offers, Shares } from "../shares";
import type { Instance } from "../state";
import type { Workers } from "../workers";
import { chooseReclaims } from "./chooseReclaims";
import { type Choice, chooseWorker, type ChooseWorkerOptions, type PlacementRequest } from "./chooseWorker";
import { createAdmissionQueue } from "./createAdmissionQueue";
import { createAttemptRunner, type FreedSlot } from "./createAttemptRunner";
import { createLeasedAttempts } from "./createLeasedAttempts";
import { createTaskQueues, type QueueBounds, type TeamQueue } from "./createTaskQueues";
import { createUsageReader } from "./createUsageReader";
import { createWorkerHealth } from "./createWorkerHealth";
import { createWorkerLoads } from "./createWorkerLoads";
import type { Dispatch } from "./dispatch";
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
    /** Lease of a task at its worker, in milliseconds; it is renewed three times per lease. */
    readonly leaseMs: number;
    readonly bounds: QueueBounds;
    /** Maximum number of tasks of this entry on one worker: the entry's share of the worker's connections. */
    readonly maxTasksPerWorker: number;
    /** Interval at which workers' usage is read, in milliseconds. */
    readonly usageIntervalMs: number;
    /** Returns true for an instance that the platform lists as leaving. */
    readonly isLeaving?: (instance: string) => boolean;
    /** Called for each worker that is ejected. */
    readonly onEjected?: (instance: string, pool: string) => void;
    /** Called with the number of tasks on one worker whose holder is neither this entry nor connected to it. */
    readonly onOrphans?: (instance: string, count: number) => void;
    /** Returns a number from 0 (inclusive) to 1 (exclusive); tests pass a seeded generator. */
    readonly random?: () => number;
}

/** Tasks of one team that are considered when the first one is too large for the free capacity. */
const maxCandidatesPerTurn = 4;
/**
 * Waiting tasks of one team for which limit capacity is requested at once. With one request at a time, a burst would
 * need as many transfers of limit capacity as it has tasks.
 */
const maxDemandedTasks = 64;
/** Smaller tasks may start ahead of a task that is too large until it has waited this long, in milliseconds. */
const maxBypassMs = 1000;
const tickMs = 100;
const reclaimTickMs = 250;
const recheckLimitsMs = 1000;
const stopPollMs = 50;

/** Queues tasks by team, starts them in fair order, and runs each until it ends once. */
export function createDispatch(opts: DispatchOptions): Dispatch {
    const { pools, shares, limits, report } = opts;
    const queues = createTaskQueues(opts.bounds);
    const loads = createWorkerLoads();
    const health = createWorkerHealth();
    /** Pools that had no free slot at the last placement. */
    const fullPools = new Set<string>();
    const pendingPools = new Map<string, FreedSlot[]>();
    const seenZones = new Set<string>();
    let reachableZones = new Set<string>();
    let lingering = 0;
    let timers: readonly NodeJS.Timeout[] = [];

    const leasedAttempts = createLeasedAttempts({
        boot: opts.boot,
        workers: opts.workers,
        limits,
        leaseMs: opts.leaseMs,
        onLingering: (count) => {
            lingering = count;
        },
    });
    const admissionQueue = createAdmissionQueue({
        pools,
        limits,
        queues,
        shares,
        report,
        onQueued: (pool) => requestScheduling(pool),
        onCancelRunning(waiting) {
            for (const candidate of leasedAttempts.running()) {
                if (candidate.waiting === waiting) {
                    leasedAttempts.requestStop(candidate, "cancelled");
                }
            }
        },
    });
    const attemptRunner = createAttemptRunner({
        pools,
        shares,
        report,
        attempts: leasedAttempts,
        admission: admissionQueue,
        loads,
        health,
        onEjected: (instance, pool) => opts.onEjected?.(instance, pool),
        onSlotFreed(pool, freed) {
            fullPools.delete(pool);
            requestScheduling(pool, freed);
        },
    });
    const usage = createUsageReader({
        peers: opts.peers,
        workers: opts.workers,
        pools,
        state: () => opts.configuration.state(),
        usageIntervalMs: opts.usageIntervalMs,
        onUsage(instance, use) {
            loads.recordOtherUsage(instance.name, use);
            loads.recordReachable(instance.name);
            reschedulePool(instance.pool);
        },
        onLeaving: (instance) => loads.avoid(instance, "leaving"),
        onOrphans: (instance, count) => opts.onOrphans?.(instance.name, count),
    });
    const chooseOptions: ChooseWorkerOptions = {
        loads,
        health,
        maxTasksPerWorker: opts.maxTasksPerWorker,
        isLeaving: opts.isLeaving ?? (() => false),
        isZoneReachable: (zone) => zone === opts.peers.self.zone || reachableZones.has(zone) || !seenZones.has(zone),
        random: opts.random ?? Math.random,
    };

    function reschedulePool(pool: string): void {
        fullPools.delete(pool);
        requestScheduling(pool);
    }

    /** Schedules the pool in a microtask; several requests before that are handled together. */
    function requestScheduling(pool: string, freed?: FreedSlot): void {
        if (pendingPools.size === 0) {
            void Promise.resolve().then(schedulePending);
        }
        const all = pendingPools.get(pool) ?? [];
        pendingPools.set(pool, all);
        if (freed !== undefined) {
            all.push(freed);
        }
    }

    function schedulePending(): void {
        const work = [...pendingPools];
        pendingPools.clear();
        work.forEach(([pool, freed]) => {
            schedulePool(pool, freed, freed.some(({ isReclaimed }) => isReclaimed) ? "always" : "sometimes");
        });
    }

    /** Starts the tasks that may start now, and offers slots freed by this entry to the entries whose turn it is. */
    function schedulePool(name: string, freed: FreedSlot[], offers: Offers): void {
        const pool = pools.find(name);
        const blocked = new Set<string>();
        while (pool !== undefined && !fullPools.has(name)) {
            const teams = queues.ofPool(name).filter(({ team, isLimitReached: isAtLimit }) =>
                !isAtLimit && !blocked.has(team)
            )
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
        shares.recordOffer(pool, team, boot);
        loads.recordSlotOffered(instance.name);
        opts.peers.send(boot, offerTopic, { pool, instance: instance.name });
    }

    /** Starts the team's next task. Returns false if none of its first tasks can start now. */
    function startNext(pool: IndexedPool, team: string): boolean {
        const queue = queues.find(pool.name, team);
        for (const waiting of queue?.peek(maxCandidatesPerTurn) ?? []) {
            const choice = chooseWorker(pool, createPlacementRequest(waiting), chooseOptions);
            switch (choice.kind) {
                case "chosen":
                    return startOn(queue!, waiting, choice);
                case "full":
                    fullPools.add(pool.name);
                    return false;
                case "tooLarge":
                    if (Date.now() - waiting.arrivedAtMs > maxBypassMs) {
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

    /** Ends the task if it has excluded every serving worker of the pool; otherwise leaves it waiting. */
    function endExhausted(pool: IndexedPool, waiting: WaitingTask): void {
        const isTriedOnAll = pool.servingCount > 0
            && pool.serving.every(({ instances }) =>
                instances.every(({ name }) => waiting.excludedInstances.has(name))
            );
        if (isTriedOnAll && admissionQueue.take(waiting)) {
            admissionQueue.refuse(waiting, "NO_WORKER", "every worker of the pool refused it or failed it");
        }
    }

    function startOn(queue: TeamQueue, waiting: WaitingTask, choice: Extract<Choice, { kind: "chosen"; }>): boolean {
        const { id, team, size } = waiting.task;
        const hold = limits.tryAcquire(team, size, id);
        if (hold === undefined) {
            queue.peek(maxDemandedTasks).forEach(({ task }) => limits.recordDemand(task.team, task.size, task.id));
            queue.isLimitReached = true;
            admissionQueue.publishWaiting(queue);
            return false;
        }
        admissionQueue.take(waiting);
        queue.startedCount++;
        void attemptRunner.run(waiting, choice, hold);
        return true;
    }

    function onLimitFreed(team: string): void {
        for (const queue of queues.ofTeam(team)) {
            if (queue.isLimitReached) {
                queue.isLimitReached = false;
                admissionQueue.publishWaiting(queue);
                requestScheduling(queue.pool);
            }
        }
    }

    /**
     * Schedules every pool with waiting tasks again, because the avoidance of a worker and usage reports expire without
     * an event.
     */
    function tick(): void {
        const connected = opts.peers.connected();
        reachableZones = new Set(connected.map(({ zone }) => zone));
        reachableZones.forEach((zone) => seenZones.add(zone));
        for (const pool of new Set([...queues.pools(), ...shares.contendedPools()])) {
            fullPools.delete(pool);
            schedulePool(pool, [], "none");
        }
    }

    /** Rechecks the limit of every team with waiting tasks: the notification of free capacity may have been lost. */
    function recheckLimits(): void {
        queues.teams().forEach(onLimitFreed);
    }

    function reclaim(): void {
        for (const pool of shares.contendedPools()) {
            const running = [...leasedAttempts.running()].filter((candidate) => candidate.waiting.task.pool === pool);
            for (const { attempt: reclaimed, reason } of chooseReclaims(pool, running, queues.ofPool(pool), shares)) {
                const { id: requestId, team } = reclaimed.waiting.task;
                const { id: attempt, instance: { name: instance } } = reclaimed;
                report({ kind: "reclaimed", requestId, attempt, team, pool, instance, reason });
                leasedAttempts.requestStop(reclaimed, "reclaimed");
            }
        }
    }

    opts.peers.onMessage(offerTopic, (_from, body) => {
        const parsed = offerSchema.safeParse(body);
        if (parsed.success) {
            loads.recordSlotFreed(parsed.data.instance);
            fullPools.delete(parsed.data.pool);
            schedulePool(parsed.data.pool, [], "none");
        }
    });

    return {
        run(request) {
            attemptRunner.recordRequest();
            return admissionQueue.admit(request);
        },
        runningCount: () => leasedAttempts.count() + queues.count(),
        counts: () => ({ waiting: queues.count(), running: leasedAttempts.count() - lingering, lingering }),
        start() {
            limits.onCapacityAvailable(onLimitFreed);
            leasedAttempts.start();
            usage.start();
            timers = [
                setInterval(tick, tickMs),
                setInterval(reclaim, reclaimTickMs),
                setInterval(recheckLimits, recheckLimitsMs),
            ];
        },
        async stop() {
            while (leasedAttempts.count() > 0) {
                await pause(stopPollMs);
            }
            timers.forEach((timer) => clearInterval(timer));
            usage.stop();
            leasedAttempts.stop();
            admissionQueue.stop();
        },
    };
}

function createPlacementRequest({ task, excludedInstances: excluded }: WaitingTask): PlacementRequest {
    return { size: task.size, excludedInstances: excluded, isRepeatable: task.repeatable };
}
