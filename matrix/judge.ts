import type { TaskEnd } from "../src/tasks";
import type { RunTaskRequest } from "../src/workers";
import { maxUnavailable, teamLimits, type World } from "./createWorld";

/** The ten promises, by the names that the reports use. */
export const promises = [
    "availability budget",
    "one pool",
    "keys",
    "upper limit",
    "whole own answer",
    "not run is true",
    "at most once",
    "leaving worker",
    "planned stop",
    "configuration",
] as const;
export type Promised = typeof promises[number];

export interface Violation {
    readonly promise: Promised;
    readonly detail: string;
    /** Simulated milliseconds since the judge began. */
    readonly atMs: number;
}

/** What one caller asked and was told. */
export interface CallRecord {
    readonly id: number;
    readonly team: string;
    readonly payload: string;
    readonly repeatable: boolean;
    /** The same for each sending of one request. */
    readonly idempotencyKey?: string;
    readonly sentAtMs: number;
    readonly boot: string;
    end?: TaskEnd;
}

/** How long the fleet may go on using a key after its withdrawal was accepted, or a worker after it began to leave. */
const graceMs = 10_000;
/** A loss that is younger than this cannot have been noticed. */
const noticeMs = 20_000;

/**
 * Watches the fakes' own truth (what workers run, what the platform holds, what callers were told) and never asks the
 * code under test.
 */
export function createJudge(world: World) {
    const startedAtMs = Date.now();
    const violations: Violation[] = [];
    const calls: CallRecord[] = [];
    const withdrawnAtMs = new Map<string, number>();
    const leavingSinceMs = new Map<string, number>();
    const lostAtMs = new Map<string, number>();
    const outSince = new Set<string>();
    const acceptedRevisions: number[] = [];
    const stopped = new Set<string>();
    const killed = new Set<string>();
    let seenStarts = 0;

    function blame(promise: Promised, detail: string): void {
        if (!violations.some((known) => known.promise === promise && known.detail === detail)) {
            violations.push({ promise, detail, atMs: Date.now() - startedAtMs });
        }
    }

    /** True where every sending of the request has ended as "not run"; another one may still start it. */
    function isToldNotRun(payload: string): boolean {
        const sendings = calls.filter((call) => call.payload === payload);
        return sendings.length > 0
            && sendings.every(({ end }) => end?.kind === "problem" && end.problem.outcome === "not run");
    }

    function findCall(order: RunTaskRequest): CallRecord | undefined {
        return calls.find(({ payload }) => payload === order.payload);
    }

    function judgeStart(order: RunTaskRequest, instance: string, atMs: number): void {
        const call = findCall(order);
        const withdrawn = withdrawnAtMs.get(order.team);
        if (call !== undefined && withdrawn !== undefined && call.sentAtMs > withdrawn + graceMs) {
            blame("keys", `task ${order.payload} of ${order.team} started ${atMs - withdrawn} ms after the withdrawal`);
        }
        if (call === undefined || call.team !== order.team) {
            blame("keys", `task ${order.payload} started for ${order.team}, not for its sender`);
        }
        const leaving = leavingSinceMs.get(instance);
        if (leaving !== undefined && atMs > leaving + graceMs) {
            blame("leaving worker", `${instance} got new work ${atMs - leaving} ms after it began to leave`);
        }
        const assigned = readAssignedPool(world, instance);
        if (assigned !== undefined && assigned !== order.pool) {
            blame("one pool", `${instance} is in ${assigned} and started a task of ${order.pool}`);
        }
        if (call !== undefined && !call.repeatable) {
            const starts = world.workers.starts.filter(({ order: other }) => sameRequest(calls, other, call)).length;
            if (starts > 1) {
                blame("at most once", `${call.idempotencyKey ?? call.payload} started ${starts} times`);
            }
        }
        if (isToldNotRun(order.payload)) {
            blame("not run is true", `${order.payload} started after its caller was told that it did not run`);
        }
    }

    function judgeRunning(): void {
        const running = [...world.workers.workers.values()]
            .filter(({ isDead }) => !isDead)
            .flatMap((worker) => [...worker.running.values()]);
        for (const [team, limit] of Object.entries(teamLimits)) {
            const count = running.filter(({ order }) => order.team === team).length;
            if (count > limit) {
                blame("upper limit", `${team} has ${count} tasks running, its limit is ${limit}`);
            }
        }
    }

    /** Looks at every worker that has just been taken out of service. */
    function judgeBudget(): void {
        const workers = [...world.workers.workers.values()];
        for (const worker of workers) {
            const isOut = worker.state !== "serving";
            if (isOut && !outSince.has(worker.instance) && !worker.isDead) {
                const pool = readAssignedPool(world, worker.instance);
                const unavailable = workers.filter((other) =>
                    readAssignedPool(world, other.instance) === pool
                    && (other.state !== "serving" || isLongLost(other.instance))
                ).length;
                if (unavailable > maxUnavailable) {
                    blame(
                        "availability budget",
                        `${unavailable} instances of ${pool} unavailable after ${worker.instance}`,
                    );
                }
            }
            if (isOut) {
                outSince.add(worker.instance);
            }
            else {
                outSince.delete(worker.instance);
            }
        }
    }

    function isLongLost(instance: string): boolean {
        const since = lostAtMs.get(instance);
        return since !== undefined && Date.now() - since > noticeMs;
    }

    function judgeEnd(call: CallRecord, end: TaskEnd): void {
        if (end.kind === "answered") {
            const sameKey = calls.filter(({ idempotencyKey }) =>
                idempotencyKey !== undefined && idempotencyKey === call.idempotencyKey
            );
            const own = [call, ...sameKey].map(({ payload }) => `done ${payload}`);
            if (!own.includes(end.body)) {
                blame("whole own answer", `${call.payload} was answered with "${end.body}"`);
            }
        }
        if (isToldNotRun(call.payload) && world.workers.starts.some(({ order }) => order.payload === call.payload)) {
            blame("not run is true", `${call.payload} had started when its caller was told that it did not run`);
        }
        const wasCut = end.kind === "problem" && end.problem.outcome === "unknown";
        if (stopped.has(call.boot) && wasCut && !call.payload.includes("cancel")) {
            blame("planned stop", `${call.payload} at ${call.boot} ended as ${end.problem.code}`);
        }
    }

    function look(): void {
        for (; seenStarts < world.workers.starts.length; seenStarts++) {
            const start = world.workers.starts[seenStarts];
            if (start !== undefined) {
                judgeStart(start.order, start.instance, start.atMs);
            }
        }
        judgeRunning();
        judgeBudget();
    }

    world.workers.onChange = look;

    return {
        violations,
        calls,
        look,
        noteEnd(call: CallRecord, end: TaskEnd) {
            call.end = end;
            judgeEnd(call, end);
        },
        noteWithdrawal: (team: string) => withdrawnAtMs.set(team, Date.now()),
        noteLeaving: (instance: string) => leavingSinceMs.set(instance, Date.now()),
        noteBack: (instance: string) => leavingSinceMs.delete(instance),
        noteLost: (instance: string) => lostAtMs.set(instance, Date.now()),
        noteStop: (boot: string) => stopped.add(boot),
        noteKill: (boot: string) => killed.add(boot),
        /** A fault keeps the instance list from being read until then. */
        noteListHidden(untilMs: number): void {
            leavingSinceMs.forEach((since, instance) => leavingSinceMs.set(instance, Math.max(since, untilMs)));
        },
        noteAccepted: (revision: number) => acceptedRevisions.push(revision),
        /** To be called when everything is healed and quiet. */
        judgeFinally(): void {
            look();
            for (const call of calls) {
                if (call.end === undefined && stopped.has(call.boot) && !killed.has(call.boot)) {
                    blame("planned stop", `${call.payload} at ${call.boot} was never answered`);
                }
            }
            const alive = world.entries.filter(({ host, isStopping }) => host.state === "running" && !isStopping);
            const newest = Math.max(0, ...acceptedRevisions);
            for (const { boot, core, revisions } of alive) {
                const revision = core.configuration.state()?.revision ?? 0;
                if (revision < newest) {
                    blame("configuration", `${boot} is at revision ${revision}, ${newest} was accepted`);
                }
                if (revisions.some((each, at) => at > 0 && each < (revisions[at - 1] ?? 0))) {
                    blame("configuration", `${boot} went back: ${revisions.join(", ")}`);
                }
            }
        },
    };
}

export type Judge = ReturnType<typeof createJudge>;

function sameRequest(calls: readonly CallRecord[], order: RunTaskRequest, call: CallRecord): boolean {
    const other = calls.find(({ payload }) => payload === order.payload);
    return other !== undefined
        && (other === call || call.idempotencyKey !== undefined && other.idempotencyKey === call.idempotencyKey);
}

/** The pool that the log at the platform gives the instance, worked out without the code under test. */
function readAssignedPool(world: World, instance: string): string | undefined {
    return world.assignments().get(instance);
}
