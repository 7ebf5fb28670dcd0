import type { Configuration } from "../../src/configuration";
import type { FleetState } from "../../src/state";
import type { RunTaskRequest, TaskResult } from "../../src/workers";
import type { FakeWorkers } from "../fakes";

/** What was seen to break a promise; empty while all hold. */
export interface Judge {
    readonly violations: string[];
    /** Starts that were judged. */
    starts(): number;
    /** Most instances truly out at once by plans, by pool. */
    readonly mostOut: Map<string, number>;
    watchEntry(boot: string, configuration: Configuration): void;
    /** Work of a plan that was done more than once. */
    doneTwice(): readonly string[];
}

/**
 * Judges by what the workers truly do, not by what the product believes: a worker is out on purpose from the moment
 * it accepts a drain until it accepts to serve. Of the product's state it takes pools and budgets only.
 */
export function createJudge(workers: FakeWorkers, log: Configuration): Judge {
    const violations: string[] = [];
    const mostOut = new Map<string, number>();
    const revisions = new Map<string, number>();
    const done = new Map<string, number>();
    let judgedStarts = 0;

    function say(text: string): void {
        violations.push(`${text} at ${Date.now()} ms`);
    }

    function judgeStarts(state: FleetState): void {
        for (const { order, instance } of workers.starts.slice(judgedStarts)) {
            judgedStarts++;
            const { pool } = state.instances[instance] ?? {};
            if (order.pool !== pool) {
                say(`${instance} started work of pool ${order.pool} while it is in pool ${pool}`);
            }
        }
    }

    function judgeBudgets(state: FleetState): void {
        const out = new Map<string, number>();
        for (const { instance, state: truth, isDead } of workers.workers.values()) {
            const known = state.instances[instance];
            const isJoining = known?.state.kind === "proving" && known.state.isJoining;
            if (known !== undefined && truth !== "serving" && !isDead && !isJoining) {
                out.set(known.pool, (out.get(known.pool) ?? 0) + 1);
            }
        }
        for (const [pool, count] of out) {
            const { maxUnavailable = 0, reserve = 0 } = state.pools[pool] ?? {};
            mostOut.set(pool, Math.max(mostOut.get(pool) ?? 0, count));
            if (count > maxUnavailable - reserve) {
                say(`${count} instances of pool ${pool} are out, its budget is ${maxUnavailable} less ${reserve}`);
            }
        }
    }

    function judge(): void {
        const state = log.state();
        if (state !== undefined) {
            judgeStarts(state);
            judgeBudgets(state);
        }
    }

    function noteDone(old: FleetState | undefined, now: FleetState): void {
        for (const { name, state } of Object.values(now.instances)) {
            const was = old?.instances[name]?.state;
            if (state.kind === "serving" && was?.kind === "proving" && !was.isAbandoned) {
                done.set(`${was.plan} ${name}`, (done.get(`${was.plan} ${name}`) ?? 0) + 1);
            }
        }
    }

    let before: FleetState | undefined;
    log.onChange((state) => {
        judge();
        judgeNewDrains(before, state, say);
        noteDone(before, state);
        before = state;
    });
    workers.onChange = judge;
    const { connect } = workers;
    workers.connect = (client) => watchNotices(connect(client), workers, judge, say);

    return {
        violations,
        mostOut,
        starts: () => judgedStarts,
        doneTwice: () => [...done].filter(([, times]) => times > 1).map(([work, times]) => `${work}: ${times} times`),
        watchEntry(boot, configuration) {
            configuration.onChange(({ revision }) => {
                if (revision < (revisions.get(boot) ?? 0)) {
                    say(`${boot} went back to revision ${revision}`);
                }
                revisions.set(boot, revision);
            });
        },
    };
}

/** A drain may not begin where what is out and what is lost have used the budget up. */
function judgeNewDrains(before: FleetState | undefined, after: FleetState, say: (text: string) => void): void {
    for (const { name, pool, state } of Object.values(after.instances)) {
        const old = before?.instances[name];
        if (state.kind === "draining" && old?.state.kind === "serving") {
            const { maxUnavailable = 0, reserve = 0 } = after.pools[old.pool] ?? {};
            const away = Object.values(after.instances).filter((other) =>
                other.pool === pool && other.state.kind !== "serving"
                && !(other.state.kind === "proving" && other.state.isJoining)
            ).length;
            if (away > maxUnavailable - reserve) {
                say(`${name} was drained with ${away} of pool ${pool} away, its budget is ${maxUnavailable}`);
            }
        }
    }
}

/** Notices that the worker accepts, and work that they cut. */
function watchNotices(
    connected: ReturnType<FakeWorkers["connect"]>,
    workers: FakeWorkers,
    judge: () => void,
    say: (text: string) => void,
): ReturnType<FakeWorkers["connect"]> {
    return {
        ...connected,
        async sendCommand(address, notice) {
            const answer = await connected.sendCommand(address, notice);
            judge();
            return answer;
        },
        async runTask(address, order, signal) {
            const result = await connected.runTask(address, order, signal);
            if (isCut(order, result) && workers.workers.get(address.instance)?.isDead !== true) {
                say(`${address.instance} cut work of pool ${order.pool}: ${JSON.stringify(result)}`);
            }
            return result;
        },
    };
}

function isCut(order: RunTaskRequest, result: TaskResult): boolean {
    return result.kind === "stopped" && (result.reason === "stop"
        || result.reason === "checkpoint" && order.isRepeatable !== true);
}
