import type { Configuration } from "../configuration";
import { Outcome, type Problem, type ProblemCode } from "../errors";
import type { Hold, Limits } from "../limits";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import type { IndexedPool, PoolIndex } from "../pools";
import type { Shares } from "../shares";
import type { Instance } from "../state";
import type { TaskEnd } from "../tasks";
import type { TaskResult, Workers } from "../workers";
import { type Choice, chooseWorker, type ChooseWorkerOptions, type Wanted } from "./chooseWorker";
import { createDeadlines } from "./createDeadlines";
import { createEnd, createWaitingEnd, type NextStep, readResult } from "./createEnds";
import { createRetryBudget } from "./createRetryBudget";
import { createTaskQueues, type QueueBounds, type TeamQueue } from "./createTaskQueues";
import { createTries, type Try } from "./createTries";
import { createUsageReader } from "./createUsageReader";
import { createWorkerHealth } from "./createWorkerHealth";
import { createWorkerLoads } from "./createWorkerLoads";
import type { Dispatch, DispatchRequest } from "./dispatch";
import { findOwnReclaims } from "./findOwnReclaims";
import { offerSchema, offerTopic } from "./messages";
import { estimateWaitMs, retryAfterSeconds } from "./queueEstimates";
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
    /** Called with the tasks of other holders that are not connected, at one worker. */
    readonly onOrphans?: (instance: string, count: number) => void;
    /** From 0 up to 1; tests give a seeded one. */
    readonly random?: () => number;
}

/** Longest that a task waits, whatever its deadline, in milliseconds. */
const maxWaitingMs = 10 * 60 * 1000;
/** Tasks of one team that are tried when the first is too large for what is free. */
const lookAhead = 4;
/** After this wait the first task is no longer passed by smaller ones behind it, in milliseconds. */
const noPassingAfterMs = 1000;
const maxTries = 3;
const tickMs = 100;
const reclaimTickMs = 250;
const stopPollMs = 50;

/** Queues tasks by team, takes them in fair order, and runs each to one end. */
export function createDispatch(opts: DispatchOptions): Dispatch {
    const { pools, shares, limits, report } = opts;
    const queues = createTaskQueues(opts.bounds);
    const loads = createWorkerLoads();
    const health = createWorkerHealth();
    const budget = createRetryBudget();
    const deadlines = createDeadlines<WaitingTask>(expire);
    /** Pools in which no slot was free when last looked. */
    const full = new Set<string>();
    const dirty = new Map<string, Instance[]>();
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

    function refusal(request: DispatchRequest): { code: ProblemCode; detail: string; comeBack?: number; } | undefined {
        const { task, signal } = request;
        const pool = pools.find(task.pool);
        if (pool === undefined) {
            return { code: "NEVER_FITS", detail: `there is no pool ${task.pool}` };
        }
        if (!pool.canEverFit(task.size)) {
            return { code: "NEVER_FITS", detail: describeLargest(pool) };
        }
        if (limits.isNeverPossible(task.team, task.size)) {
            return { code: "NEVER_FITS", detail: `team ${task.team}'s whole limit cannot hold one such task` };
        }
        if (signal.aborted) {
            return { code: "CANCELLED", detail: "cancelled before it was queued" };
        }
        const queue = queues.find(task.pool, task.team);
        if (queues.isFull(task.team)) {
            const detail = `${queues.count()} tasks wait at this entry`;
            return { code: "QUEUE_FULL", detail, comeBack: retryAfterSeconds(queue) };
        }
        const leftMs = task.deadlineAtMs - Date.now();
        if (leftMs <= 0) {
            return { code: "DEADLINE_PASSED", detail: "the deadline had passed on arrival" };
        }
        if (queue !== undefined && !task.urgent && estimateWaitMs(queue) > leftMs) {
            const detail = "at the present rate the task would not start before its deadline";
            return { code: "QUEUE_FULL", detail, comeBack: retryAfterSeconds(queue) };
        }
        return undefined;
    }

    function run(request: DispatchRequest): Promise<TaskEnd> {
        const { task, signal } = request;
        budget.noteRequest();
        const refused = refusal(request);
        if (refused !== undefined) {
            const { code, detail, comeBack } = refused;
            reportRefused(request, code, detail);
            return Promise.resolve(createEnd(code, detail, Outcome.NotRun, comeBack));
        }
        return new Promise((resolve) => {
            const nowMs = Date.now();
            const onAbort = () => cancel(waiting);
            const waiting: WaitingTask = {
                ...request,
                arrivedAtMs: nowMs,
                expiresAtMs: Math.min(task.deadlineAtMs, nowMs + maxWaitingMs),
                tried: new Set(),
                startedTries: 0,
                isClaimed: false,
                isEnded: false,
                lacksRoom: false,
                end(end) {
                    if (!waiting.isEnded) {
                        waiting.isEnded = true;
                        signal.removeEventListener("abort", onAbort);
                        resolve(end);
                    }
                },
            };
            signal.addEventListener("abort", onAbort);
            enqueue(waiting, false);
        });
    }

    function enqueue(waiting: WaitingTask, inFront: boolean): void {
        const queue = inFront ? queues.addInFront(waiting) : queues.add(waiting);
        deadlines.add(waiting, waiting.expiresAtMs);
        tellWaiting(queue);
        markDirty(waiting.task.pool);
    }

    /** Takes a task out of its queue; false where it was not waiting. */
    function dequeue(waiting: WaitingTask): boolean {
        const queue = queues.remove(waiting);
        if (queue === undefined) {
            return false;
        }
        deadlines.remove(waiting, waiting.expiresAtMs);
        tellWaiting(queue);
        return true;
    }

    function tellWaiting(queue: TeamQueue): void {
        shares.setWaiting(queue.pool, queue.team, queue.waitingWork());
    }

    function refuseWaiting(waiting: WaitingTask, code: ProblemCode, detail: string, comeBack?: number): void {
        reportRefused(waiting, code, detail);
        waiting.end(waiting.lastEnd ?? createWaitingEnd(waiting, code, detail, comeBack));
    }

    function expire(waiting: WaitingTask): void {
        const queue = queues.find(waiting.task.pool, waiting.task.team);
        if (!dequeue(waiting)) {
            return;
        }
        const comeBack = retryAfterSeconds(queue);
        if (waiting.lacksRoom) {
            refuseWaiting(waiting, "LIMIT_REACHED", "the team's upper limit left no room in time", comeBack);
        }
        else {
            refuseWaiting(waiting, "DEADLINE_PASSED", "no worker was free in time", comeBack);
        }
    }

    function cancel(waiting: WaitingTask): void {
        if (dequeue(waiting)) {
            refuseWaiting(waiting, "CANCELLED", "cancelled while it waited");
            return;
        }
        for (const one of tries.running()) {
            if (one.waiting === waiting) {
                tries.stopOne(one, "cancelled");
            }
        }
    }

    function wake(pool: string): void {
        full.delete(pool);
        markDirty(pool);
    }

    /** Looks at the pool again right after this turn of the event loop; several reasons are one look. */
    function markDirty(pool: string, freed?: Instance): void {
        if (dirty.size === 0) {
            void Promise.resolve().then(pumpDirty);
        }
        const instances = dirty.get(pool) ?? [];
        dirty.set(pool, instances);
        if (freed !== undefined) {
            instances.push(freed);
        }
    }

    function pumpDirty(): void {
        const work = [...dirty];
        dirty.clear();
        work.forEach(([pool, freed]) => pump(pool, freed, true));
    }

    /** Starts what may start now; offers slots that have become free here to entries whose turn it is. */
    function pump(name: string, freed: Instance[], withPeers: boolean): void {
        const pool = pools.find(name);
        const blocked = new Set<string>();
        while (pool !== undefined && !full.has(name)) {
            const teams = queues.ofPool(name).filter(({ team, lacksRoom }) => !lacksRoom && !blocked.has(team))
                .map(({ team }) => team);
            if (teams.length === 0 && freed.length === 0) {
                return;
            }
            const turn = shares.nextTurn(name, teams, withPeers);
            switch (turn.kind) {
                case "nobody":
                    return;
                case "own":
                    if (!startNext(pool, turn.team)) {
                        blocked.add(turn.team);
                    }
                    break;
                case "peer": {
                    const instance = freed.pop();
                    if (instance === undefined) {
                        return;
                    }
                    offer(name, instance, turn.team, turn.boot);
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
        if (isTriedOnAll && dequeue(waiting)) {
            refuseWaiting(waiting, "NO_WORKER", "every worker of the pool refused it or failed it");
        }
    }

    function startOn(queue: TeamQueue, waiting: WaitingTask, choice: Extract<Choice, { kind: "chosen"; }>): boolean {
        const { id, team, size } = waiting.task;
        const hold = limits.tryTake(team, size, id);
        if (hold === undefined) {
            waiting.lacksRoom = true;
            queue.lacksRoom = true;
            tellWaiting(queue);
            return false;
        }
        waiting.lacksRoom = false;
        dequeue(waiting);
        queue.drained++;
        void attempt(waiting, choice, hold);
        return true;
    }

    async function attempt(
        waiting: WaitingTask,
        { instance, reason, candidates }: Extract<Choice, { kind: "chosen"; }>,
        hold: Hold,
    ): Promise<void> {
        const { task } = waiting;
        const one = tries.begin(waiting, instance, hold);
        loads.take(instance.name, task.size);
        shares.addRunning(task.pool, task.team, task.size, task.urgent);
        const problem = await claim(waiting);
        const end = problem ?? checkBeforeSend(waiting, instance);
        if (end !== undefined) {
            tries.drop(one);
            giveBack(one);
            settle(waiting, end);
            return;
        }
        const { id: requestId, team, pool } = task;
        report({
            kind: "placed",
            requestId,
            attempt: one.attempt,
            team,
            pool,
            instance: instance.name,
            reason,
            candidates,
        });
        const startedAtMs = performance.now();
        const result = await tries.run(one);
        const durationMs = Math.round(performance.now() - startedAtMs);
        report({
            kind: "ended",
            requestId,
            attempt: one.attempt,
            team,
            instance: instance.name,
            result: describeResult(result),
            durationMs,
        });
        noteResult(one, result, durationMs);
        giveBack(one);
        settle(waiting, readResult(one, result));
    }

    async function claim(waiting: WaitingTask): Promise<NextStep | undefined> {
        if (waiting.isClaimed) {
            return undefined;
        }
        const problem: Problem | undefined = await waiting.beforeSend();
        waiting.isClaimed = problem === undefined;
        return problem === undefined ? undefined : { kind: "end", end: { kind: "problem", problem } };
    }

    /**
     * The last look before anything leaves. The claim may have taken long and this process may have been paused: a task
     * sent now would run after its caller was told that it had not, or on an instance that has left the pool.
     */
    function checkBeforeSend(waiting: WaitingTask, instance: Instance): NextStep | undefined {
        if (waiting.signal.aborted) {
            return { kind: "end", end: createWaitingEnd(waiting, "CANCELLED", "cancelled before it was sent") };
        }
        if (Date.now() > waiting.expiresAtMs) {
            const detail = "the deadline passed before the task was sent";
            return { kind: "end", end: waiting.lastEnd ?? createWaitingEnd(waiting, "DEADLINE_PASSED", detail) };
        }
        const now = pools.findInstance(instance.name);
        const isSame = now?.pool === instance.pool && now.state.kind === "serving"
            && now.assignmentNumber === instance.assignmentNumber;
        return isSame ? undefined : { kind: "again" };
    }

    function giveBack({ instance, waiting: { task } }: Try): void {
        loads.giveBack(instance.name, task.size);
        shares.removeRunning(task.pool, task.team, task.size);
        full.delete(task.pool);
        markDirty(task.pool, instance);
    }

    function noteResult(one: Try, result: TaskResult, durationMs: number): void {
        const { instance, waiting } = one;
        switch (result.kind) {
            case "answered":
                waiting.startedTries++;
                noteHealth(one, true, durationMs);
                return;
            case "failed":
                waiting.startedTries++;
                noteHealth(one, false, durationMs);
                return;
            case "stopped":
                waiting.startedTries++;
                return;
            case "unknown":
                waiting.startedTries++;
                if (one.stopping === undefined) {
                    noteHealth(one, false, durationMs);
                }
                return;
            case "notRun":
                noteRefused(waiting, instance, result.reason);
        }
    }

    function noteRefused(
        waiting: WaitingTask,
        instance: Instance,
        reason: Extract<TaskResult, { kind: "notRun"; }>["reason"],
    ): void {
        switch (reason) {
            case "busy":
                loads.noteBusy(instance);
                return;
            case "tooLarge":
                waiting.tried.add(instance.name);
                return;
            case "leaving":
            case "staleAssignment":
            case "unreachable":
                loads.avoid(instance, reason);
                return;
        }
    }

    function noteHealth({ instance, waiting }: Try, isOk: boolean, durationMs: number): void {
        const poolSize = pools.find(instance.pool)?.servingCount ?? 1;
        const slowness = Math.max(1, durationMs) / waiting.task.expectedRunMs;
        const change = health.note(instance.name, instance.pool, poolSize, isOk, slowness);
        if (change !== undefined) {
            const { kind, ...fields } = change;
            report({ kind: "workerHealth", change: kind, ...fields });
        }
    }

    function settle(waiting: WaitingTask, next: NextStep): void {
        switch (next.kind) {
            case "end":
                waiting.end(next.end);
                return;
            case "again":
                requeue(waiting);
                return;
            case "resume":
                if (next.checkpoint !== undefined) {
                    waiting.checkpoint = next.checkpoint;
                }
                waiting.expiresAtMs = Date.now() + maxWaitingMs;
                requeue(waiting);
                return;
            case "retry":
                retry(waiting, next.end);
                return;
        }
    }

    function retry(waiting: WaitingTask, end: TaskEnd): void {
        const isAllowed = waiting.startedTries < maxTries && !waiting.signal.aborted && budget.trySpend();
        if (!isAllowed) {
            waiting.end(end);
            return;
        }
        waiting.lastEnd = end;
        requeue(waiting);
    }

    function requeue(waiting: WaitingTask): void {
        if (waiting.signal.aborted) {
            refuseWaiting(waiting, "CANCELLED", "cancelled between two tries");
        }
        else {
            enqueue(waiting, true);
        }
    }

    function reportRefused({ task }: DispatchRequest, code: string, reason: string): void {
        const { id: requestId, team, pool } = task;
        const candidates = pools.find(pool)?.servingCount ?? 0;
        report({ kind: "refused", requestId, team, pool, code, reason, candidates });
    }

    function onRoom(team: string): void {
        for (const queue of queues.ofTeam(team)) {
            if (queue.lacksRoom) {
                queue.lacksRoom = false;
                tellWaiting(queue);
                markDirty(queue.pool);
            }
        }
    }

    /** Looks again at every pool in which something waits: avoidances and reports run out without a message. */
    function tick(): void {
        const connected = opts.peers.connected();
        reachableZones = new Set(connected.map(({ zone }) => zone));
        reachableZones.forEach((zone) => seenZones.add(zone));
        for (const pool of shares.contendedPools()) {
            full.delete(pool);
            queues.ofPool(pool).forEach((queue) => {
                queue.lacksRoom = false;
            });
            pump(pool, [], false);
        }
    }

    function reclaim(): void {
        for (const pool of shares.contendedPools()) {
            const running = [...tries.running()].filter((one) => one.isSent && one.waiting.task.pool === pool);
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
            pump(parsed.data.pool, [], false);
        }
    });

    return {
        run,
        runningCount: () => tries.count() + queues.count(),
        counts: () => ({ waiting: queues.count(), running: tries.count() - lingering, lingering }),
        start() {
            limits.onRoom(onRoom);
            tries.start();
            usage.start();
            timers = [setInterval(tick, tickMs), setInterval(reclaim, reclaimTickMs)];
        },
        async stop() {
            while (tries.count() > 0) {
                await new Promise((resolve) => setTimeout(resolve, stopPollMs));
            }
            timers.forEach((timer) => clearInterval(timer));
            usage.stop();
            tries.stop();
            deadlines.stop();
        },
    };
}

function wantedFor({ task, tried }: WaitingTask): Wanted {
    return { size: task.size, tried, isRepeatable: task.repeatable };
}

function describeLargest({ name, largest }: IndexedPool): string {
    if (largest === undefined) {
        return `pool ${name} has no instance`;
    }
    const { processors, memoryMb, accelerators } = largest.capacity;
    return `the largest instance of pool ${name}, ${largest.name}, has ${processors} processors, ${memoryMb} MB`
        + ` and ${accelerators} accelerators`;
}

function describeResult(result: TaskResult): string {
    return "reason" in result ? `${result.kind}: ${result.reason}` : result.kind;
}
