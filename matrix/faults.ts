import { type SimEntry, type World, zones } from "./createWorld";
import type { Judge } from "./judge";

/** What happens to the fleet at a step; `undo` heals it. */
export interface Fault {
    readonly name: string;
    /** How long it lasts, in milliseconds. */
    readonly durationMs: number;
    /** True where entries cannot read the instance list, or not the newest one. */
    readonly hidesList?: boolean;
    /** Strikes around the entry that is at the step. */
    strike(world: World, entry: SimEntry, judge: Judge): { undo(): void; };
}

const nothing = { undo: () => {} };
const usualMs = 12_000;
/** Longer than the lease of a task. */
const pastLeaseMs = 15_000;
const slowMs = 1500;
const lateAnswerMs = 4000;

function onWorkers(
    name: string,
    set: (worker: World["workers"]["workers"] extends Map<string, infer W> ? W : never, on: boolean) => void,
): Fault {
    return {
        name,
        durationMs: usualMs,
        strike(world) {
            const all = [...world.workers.workers.values()];
            all.forEach((worker) => set(worker, true));
            return { undo: () => all.forEach((worker) => set(worker, false)) };
        },
    };
}

/** Every fault of the matrix, one column each. */
export const faults: readonly Fault[] = [
    {
        name: "process killed",
        durationMs: usualMs,
        strike(world, entry, judge) {
            judge.noteKill(entry.boot);
            entry.host.kill();
            world.network.remove(entry.boot);
            return {
                undo() {
                    void world.startEntry(entry.zone, entry.instance);
                },
            };
        },
    },
    {
        name: "frozen and woken",
        durationMs: 3000,
        hidesList: true,
        strike(_world, entry) {
            entry.host.freeze();
            return { undo: () => entry.host.wake() };
        },
    },
    {
        name: "cut from the platform",
        durationMs: usualMs,
        hidesList: true,
        strike(world, entry) {
            world.platform.cutOff.add(entry.boot);
            return { undo: () => void world.platform.cutOff.delete(entry.boot) };
        },
    },
    {
        name: "zone cut off",
        durationMs: usualMs,
        hidesList: true,
        strike(world, { zone }) {
            const inside = namesIn(world, zone);
            const outside = zones.filter((other) => other !== zone).flatMap((other) => namesIn(world, other));
            const boots = world.entries.filter((entry) => entry.zone === zone).map(({ boot }) => boot);
            world.cut(inside, outside, true);
            boots.forEach((boot) => world.platform.cutOff.add(boot));
            return {
                undo() {
                    world.cut(inside, outside, false);
                    boots.forEach((boot) => world.platform.cutOff.delete(boot));
                },
            };
        },
    },
    {
        name: "platform down",
        durationMs: usualMs,
        hidesList: true,
        strike(world) {
            world.platform.isDown = true;
            return {
                undo() {
                    world.platform.isDown = false;
                },
            };
        },
    },
    {
        name: "platform slow",
        durationMs: usualMs,
        hidesList: true,
        strike(world) {
            world.platform.delayMs = slowMs;
            return {
                undo() {
                    world.platform.delayMs = 1;
                },
            };
        },
    },
    {
        name: "write answers lost",
        durationMs: usualMs,
        strike(world) {
            world.platform.lostWriteAnswers = 3;
            return {
                undo() {
                    world.platform.lostWriteAnswers = 0;
                },
            };
        },
    },
    {
        name: "watch late",
        durationMs: usualMs,
        strike(world, entry) {
            world.platform.lateWatches.add(entry.boot);
            return { undo: () => void world.platform.lateWatches.delete(entry.boot) };
        },
    },
    {
        name: "instance list lagging",
        durationMs: usualMs,
        hidesList: true,
        strike(world) {
            const kept = new Map(world.platform.instances);
            world.platform.staleInstances = kept;
            return {
                undo() {
                    world.platform.staleInstances = undefined;
                },
            };
        },
    },
    {
        name: "lease lapsed while paused",
        durationMs: pastLeaseMs,
        hidesList: true,
        strike(_world, entry) {
            entry.host.freeze();
            return { undo: () => entry.host.wake() };
        },
    },
    {
        name: "two operators at once",
        durationMs: usualMs,
        strike(world) {
            const pool = { name: "stalls", maxUnavailable: 2 };
            world.entries.filter(({ host }) => host.state === "running").forEach(({ host, core }, at) =>
                host.run(() => {
                    const command = { kind: "change", changes: [{ kind: "setPool", pool }] } as const;
                    void core.configuration.append({ by: `operator-${at}`, reason: "race", command });
                })
            );
            return nothing;
        },
    },
    onWorkers("answers late", (worker, on) => {
        worker.answerDelayMs = on ? lateAnswerMs : 0;
    }),
    onWorkers("answers crossed", (worker, on) => {
        worker.crossesAnswers = on;
    }),
    onWorkers("answers truncated", (worker, on) => {
        worker.truncatesAnswers = on;
    }),
    {
        name: "a worker fails all",
        durationMs: usualMs,
        strike(world) {
            const worker = [...world.workers.workers.values()][0];
            if (worker !== undefined) {
                worker.failsAll = true;
            }
            return {
                undo() {
                    if (worker !== undefined) {
                        worker.failsAll = false;
                    }
                },
            };
        },
    },
    {
        name: "run times far off",
        durationMs: usualMs,
        strike(world) {
            const runMs = world.workers.runMs;
            world.workers.runMs = (order) => runMs(order) * 10;
            return {
                undo() {
                    world.workers.runMs = runMs;
                },
            };
        },
    },
    {
        name: "wave of cancellations",
        durationMs: usualMs,
        strike(world) {
            world.cancelAll();
            return nothing;
        },
    },
    {
        name: "a rack lost",
        durationMs: usualMs,
        strike(world, _entry, judge) {
            const rack = world.instances[0]?.rack;
            const lost = world.instances.filter((instance) => instance.rack === rack).map(({ name }) => name);
            const workers = lost.map((name) => world.workers.workers.get(name));
            workers.forEach((worker) => {
                if (worker !== undefined) {
                    worker.isDead = true;
                    [...worker.running.values()].forEach((task) =>
                        task.end({ kind: "unknown", reason: "connectionLost" })
                    );
                    judge.noteLost(worker.instance);
                }
            });
            return {
                undo: () =>
                    workers.forEach((worker) => {
                        if (worker !== undefined) {
                            worker.isDead = false;
                        }
                    }),
            };
        },
    },
];

function namesIn(world: World, zone: string): string[] {
    const boots = world.entries.filter((entry) => entry.zone === zone).map(({ boot }) => boot);
    return [...boots, ...world.instances.filter((instance) => instance.zone === zone).map(({ name }) => name)];
}
