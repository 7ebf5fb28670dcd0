import type { Core } from "../src/entry";
import type { Peers } from "../src/peers";
import type { Platform } from "../src/platform";
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
            core.limits.tryTake = (team, size) => ({ id: -nextId++, team, size });
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
];

function changeResults(
    workers: Workers,
    change: (result: Awaited<ReturnType<Workers["runTask"]>>) => Awaited<ReturnType<Workers["runTask"]>>,
): Workers {
    return { ...workers, runTask: async (...args) => change(await workers.runTask(...args)) };
}
