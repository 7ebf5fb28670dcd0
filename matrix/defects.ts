import type { Core } from "../src/entry";
import type { Peers } from "../src/peers";
import type { Platform } from "../src/platform";
import type { FleetState } from "../src/state";
import type { Workers } from "../src/workers";
import type { Promised } from "./judge";

interface Adapters {
    readonly platform: Platform;
    readonly workers: Workers;
    readonly peers: Peers;
}

/** A mechanism switched off in the test's wiring, which the judge has to notice. */
export interface Defect {
    readonly name: string;
    readonly promise: Promised;
    /** Row and fault at which it shows. */
    readonly at: { readonly row: string; readonly fault: string; };
    /** What pools are set up with, in the place of the budget that the judge knows. */
    readonly budget?: number;
    /** Workers do not look at an order's pool and assignment number. */
    readonly takesAnyPool?: boolean;
    breakAdapters?(adapters: Adapters): Adapters;
    breakCore?(core: Core): Core;
}

/** At least one defect for each promise. */
export const defects: readonly Defect[] = [
    {
        name: "room is not taken from the limit",
        promise: "upper limit",
        at: { row: "taking a request", fault: "answers late" },
        breakCore(core) {
            let nextId = 1;
            core.limits.tryAcquire = (team, size) => ({ id: -nextId++, team, size });
            return core;
        },
    },
    {
        name: "claims are not made",
        promise: "at most once",
        at: { row: "sending", fault: "process killed" },
        breakCore(core) {
            core.once.admit = ({ team, id }) =>
                Promise.resolve({ kind: "run", claim: { team, idempotencyKey: id, number: 0 } });
            core.once.claim = () => Promise.resolve(undefined);
            core.once.settle = (_claim, end) => Promise.resolve(end);
            return core;
        },
    },
    {
        name: "a lost answer is told as not run",
        promise: "not run is true",
        at: { row: "answering", fault: "answers truncated" },
        breakAdapters: (adapters) => ({
            ...adapters,
            workers: changeResults(
                adapters.workers,
                (result) => result.kind === "unknown" ? { kind: "notRun", reason: "leaving" } : result,
            ),
        }),
    },
    {
        name: "a crossed answer is passed on",
        promise: "whole own answer",
        at: { row: "answering", fault: "answers crossed" },
        breakAdapters: (adapters) => ({
            ...adapters,
            workers: changeResults(
                adapters.workers,
                (result) =>
                    result.kind === "unknown" && result.reason === "crossed"
                        ? { kind: "answered", body: "done something else" }
                        : result,
            ),
        }),
    },
    {
        name: "a budget is read as nine",
        promise: "availability budget",
        at: { row: "wave: telling the worker to drain", fault: "watch late" },
        budget: 9,
    },
    {
        name: "orders name another pool",
        promise: "one pool",
        at: { row: "placing", fault: "watch late" },
        takesAnyPool: true,
        breakAdapters: (adapters) => ({
            ...adapters,
            workers: {
                ...adapters.workers,
                runTask: (worker, order, signal) =>
                    adapters.workers.runTask(worker, { ...order, pool: "another" }, signal),
            },
        }),
    },
    {
        name: "withdrawals of keys are not applied",
        promise: "keys",
        at: { row: "withdrawing a key, after the write", fault: "watch late" },
        breakCore: (core) => changeState(core, (state, first) => ({ ...state, teams: first.teams })),
    },
    {
        name: "leaving workers are not looked up",
        promise: "leaving worker",
        at: { row: "a worker begins to leave", fault: "watch late" },
        breakAdapters: (adapters) => ({
            ...adapters,
            platform: {
                ...adapters.platform,
                listInstances: async () =>
                    (await adapters.platform.listInstances()).map((list) =>
                        list.map(({ instance }) => ({ instance, status: "live" }) as const)
                    ),
            },
        }),
    },
    {
        name: "a stop does not wait",
        promise: "planned stop",
        at: { row: "stopping an entry", fault: "watch late" },
        breakCore(core) {
            core.stop = () => Promise.resolve();
            return core;
        },
    },
    {
        name: "a newer configuration is not taken",
        promise: "configuration",
        at: { row: "applying configuration", fault: "watch late" },
        breakCore: (core) => changeState(core, (_state, first) => first),
    },
];

function changeResults(
    workers: Workers,
    change: (result: Awaited<ReturnType<Workers["runTask"]>>) => Awaited<ReturnType<Workers["runTask"]>>,
): Workers {
    return { ...workers, runTask: async (...args) => change(await workers.runTask(...args)) };
}

/** Shows every part of the daemon a changed state; `first` is the state once the set-up was in force. */
function changeState(core: Core, change: (state: FleetState, first: FleetState) => FleetState): Core {
    const real = core.configuration.state;
    let first: FleetState | undefined;
    core.configuration.state = () => {
        const state = real();
        first ??= state !== undefined && state.revision > 0 ? state : undefined;
        return state === undefined || first === undefined ? state : change(state, first);
    };
    return core;
}
