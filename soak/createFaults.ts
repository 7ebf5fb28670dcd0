import { pause } from "../src/clock";
import type { Random } from "../standins/random";
import { type StoreFault, type WorkerFault, workerFaults } from "../standins/scheduling";
import type { PathState, Proxy } from "./createProxy";
import { revokedKey, type World } from "./createWorld";
import type { Entry } from "./startEntry";

/** One fault as it was injected, for the report. */
export interface InjectedFault {
    readonly atMs: number;
    readonly text: string;
}

/** A time during which a fault disturbed an entry, its paths or its view of the store; in milliseconds. */
export interface Disturbance {
    /** `undefined`: all entries. */
    readonly entry: string | undefined;
    readonly fromMs: number;
    /** Infinite while the fault lasts. */
    untilMs: number;
}

export interface Faults {
    readonly injected: readonly InjectedFault[];
    readonly disturbances: readonly Disturbance[];
    /** When the second key was taken away. */
    revokedAtMs(): number | undefined;
    /** Injects faults until told to stop, then mends everything. */
    run(forMs: number): Promise<void>;
}

/** Pauses between faults, in milliseconds; most last longer, so that they overlap. */
const [shortestGapMs, longestGapMs] = [200, 1500];

/** How long a fault lasts, in milliseconds. */
const [shortestMs, longestMs] = [150, 3500];

/** How long a process is down before the platform starts it again, in milliseconds. */
const [shortestDownMs, longestDownMs] = [300, 1500];

const storeFaults: readonly StoreFault[] = ["refused", "silent", "answerLost", "late"];
/** Faults that leave a new owner without a worker's list, or with one that is out of date. */
const takeoverFaults: readonly WorkerFault[] = ["late", "mute", "lostLooks"];

/** Workers that get one of these when the owner is killed, in hundredths, and submissions that are cancelled with it. */
const spoiltWithOwnerPercent = 50;
const cancelledWithOwner = 3;

/** Pauses before the faults that are drawn by `loadRandom`, in milliseconds. */
const [shortestLoadGapMs, longestLoadGapMs] = [1000, 4000];

/** Pauses before open connections fall silent, in milliseconds: longer than an entry has to be undisturbed to be judged. */
const [shortestSilenceGapMs, longestSilenceGapMs] = [4000, 12_000];

type Action = () => Promise<string | undefined>;

export interface FaultOptions {
    readonly world: World;
    readonly random: Random;
    /** Draws the bursts and the cuts of the leader's paths. */
    readonly loadRandom: Random;
    /** Draws when open connections fall silent. */
    readonly connectionRandom: Random;
    cancelOne(): void;
    sendBurst(random: Random): Promise<void>;
}

/** Injects faults from outside the processes, in an order and at times that follow the seed. */
export function createFaults(
    { world, random, loadRandom, connectionRandom, cancelOne, sendBurst }: FaultOptions,
): Faults {
    const injected: InjectedFault[] = [];
    const disturbances: Disturbance[] = [];
    const pending = new Set<Promise<void>>();
    let isOver = false;
    let revokedAtMs: number | undefined;
    let hasWave = false;
    const busy = new Set<unknown>();

    /** Notes that a fault begins; the result ends it. */
    function disturb(entry: string | undefined): () => void {
        const disturbance = { entry, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
        disturbances.push(disturbance);
        return () => void (disturbance.untilMs = performance.now());
    }

    /** Name of the entry that a fault on this thing disturbs; `undefined` for other things, such as workers. */
    function findDisturbed(thing: unknown): string | undefined {
        return world.entries.find((entry) =>
            [entry, entry.name, entry.toStore, entry.fromClients].includes(thing as Entry)
        )
            ?.name;
    }

    /** Runs a fault for a while on something that has none yet; overlapping ones would mend each other. */
    async function during(
        thing: unknown,
        begin: () => void,
        end: () => void | Promise<void>,
        lastsMs = random.int(shortestMs, longestMs),
    ): Promise<void> {
        busy.add(thing);
        const disturbed = findDisturbed(thing);
        const endDisturbance = disturbed === undefined ? () => {} : disturb(disturbed);
        begin();
        const endsAtMs = performance.now() + lastsMs;
        while (!isOver && performance.now() < endsAtMs) {
            await pause(20);
        }
        await end();
        endDisturbance();
        busy.delete(thing);
    }

    function pickFree<T>(things: readonly T[]): T | undefined {
        const free = things.filter((thing) => !busy.has(thing));
        return free.length === 0 ? undefined : random.pick(free);
    }

    function drawState(): PathState {
        return random.pick<PathState>([
            { kind: "delayed", delayMs: random.int(20, 400) },
            { kind: "reset" },
            { kind: "oneWay" },
            { kind: "silent" },
        ]);
    }

    /** Makes one path bad that is not bad yet. */
    function spoilOne(proxies: readonly Proxy[]): string | undefined {
        const proxy = pickFree(proxies);
        const state = drawState();
        if (proxy !== undefined) {
            start(during(proxy, () => proxy.set(state), () => proxy.set({ kind: "open" })));
        }
        return proxy && `${proxy.name} ${state.kind}`;
    }

    /** Gives a worker a fault for a while; `undefined` where it has one. */
    function spoilWorker(id: string, faults: readonly WorkerFault[]): string | undefined {
        if (busy.has(id)) {
            return undefined;
        }
        const fault = random.pick(faults);
        const worker = world.platform.workers.get(id);
        start(during(id, () => worker.fault = fault, () => void (worker.fault = undefined)));
        return `${id} ${fault}`;
    }

    const actions: Readonly<Record<string, Action>> = {
        "path to the store": async () => spoilOne(world.entries.map(({ toStore }) => toStore)),
        "path from clients": async () => spoilOne(world.entries.map(({ fromClients }) => fromClients)),
        "path to a worker": async () => spoilOne([...world.toWorkers.values()]),
        async "connections break"() {
            world.entries.forEach(({ toStore, fromClients }) =>
                [toStore, fromClients].forEach((proxy) => proxy.breakAll())
            );
            disturb(undefined)();
            return "all of them";
        },
        async "store"() {
            const entry = pickFree(world.entries.map(({ name }) => name));
            const fault = random.pick(storeFaults);
            if (entry !== undefined) {
                const set = (next: StoreFault | undefined) => world.platform.store.setFault(entry, next);
                start(during(entry, () => set(fault), () => set(undefined)));
            }
            return entry && `${fault} for ${entry}`;
        },
        async "store forgets its history"() {
            world.platform.store.forgetHistory();
            disturb(undefined)();
            return "all of it";
        },
        async "store cuts its watches"() {
            world.platform.store.cutWatches();
            disturb(undefined)();
            return "all of them";
        },
        async "worker"() {
            const id = pickFree(world.workerIds);
            return id && spoilWorker(id, workerFaults);
        },
        async "process killed"() {
            return stopProcess("SIGKILL");
        },
        async "owner killed among faulty workers"() {
            const name = world.findOwner();
            const owner = world.entries.find((entry) => entry.name === name && !busy.has(entry));
            if (owner === undefined) {
                return undefined;
            }
            kill(owner, "SIGKILL");
            Array.from({ length: cancelledWithOwner }, cancelOne);
            const chosen = world.workerIds.filter(() => random.chance(spoiltWithOwnerPercent));
            const spoilt = chosen.flatMap((id) => spoilWorker(id, takeoverFaults) ?? []);
            return [owner.name, ...spoilt].join(", ");
        },
        async "process stopped"() {
            return stopProcess("SIGTERM");
        },
        async "process paused"() {
            const entry = pickFree(world.entries);
            if (entry !== undefined) {
                start(during(entry, () => entry.signal("SIGSTOP"), () => entry.signal("SIGCONT")));
            }
            return entry?.name;
        },
        async "settings changed"() {
            const entry = pickFree(world.entries);
            entry?.signal("SIGHUP");
            disturb(entry?.name)();
            return entry?.name;
        },
        async "key taken away"() {
            if (revokedAtMs !== undefined) {
                return undefined;
            }
            revokedAtMs = performance.now();
            world.revokeKey(revokedKey);
            return "from the tenant";
        },
        async "wave"() {
            if (hasWave) {
                return undefined;
            }
            hasWave = true;
            world.startWave(2);
            return "over all machines, 2 at once";
        },
    };

    const loadActions: Readonly<Record<string, Action>> = {
        async "one account sends a burst"() {
            start(sendBurst(loadRandom));
            return "the second account";
        },
        async "leader's paths cut"() {
            const name = world.findOwner();
            const leader = world.entries.find((entry) => entry.name === name);
            const token = world.findOwnerToken();
            const lastsMs = loadRandom.int(shortestMs, longestMs);
            if (leader === undefined || busy.has("leader's calls to workers")) {
                return undefined;
            }
            const silenceCalls = (silent: number | undefined) =>
                world.toWorkers.forEach((proxy) => proxy.silenceCaller(silent));
            start(
                during("leader's calls to workers", () => silenceCalls(token), () => silenceCalls(undefined), lastsMs),
            );
            for (const path of [leader.toStore, leader.fromClients].filter((proxy) => !busy.has(proxy))) {
                start(during(path, () => path.set({ kind: "silent" }), () => path.set({ kind: "open" }), lastsMs));
            }
            return `${leader.name} for ${lastsMs} ms`;
        },
    };

    const connectionActions: Readonly<Record<string, Action>> = {
        async "open connections to the store fall silent"() {
            world.entries.forEach(({ toStore }) => toStore.silenceOpen());
            disturb(undefined)();
            return "all of them";
        },
    };

    async function inject(
        from: Random,
        choices: Readonly<Record<string, Action>>,
        [shortest, longest]: readonly [number, number],
        endsAtMs: number,
    ): Promise<void> {
        while (performance.now() < endsAtMs) {
            await pause(from.int(shortest, longest));
            const [name, act] = from.pick(Object.entries(choices));
            const text = await act();
            if (text !== undefined) {
                injected.push({ atMs: performance.now(), text: `${name}: ${text}` });
            }
        }
    }

    function start(task: Promise<void>): void {
        const tracked = task.finally(() => pending.delete(tracked));
        pending.add(tracked);
    }

    function stopProcess(signal: "SIGKILL" | "SIGTERM"): string | undefined {
        const entry = pickFree(world.entries);
        if (entry !== undefined) {
            kill(entry, signal);
        }
        return entry?.name;
    }

    /** Ends a process by signal; the platform starts it again after a while. */
    function kill(entry: Entry, signal: "SIGKILL" | "SIGTERM"): void {
        start((async () => {
            busy.add(entry);
            const endDisturbance = disturb(entry.name);
            entry.signal(signal);
            await pause(random.int(shortestDownMs, longestDownMs));
            await entry.restart();
            endDisturbance();
            busy.delete(entry);
        })());
    }

    return {
        injected,
        disturbances,
        revokedAtMs: () => revokedAtMs,
        async run(forMs) {
            const endsAtMs = performance.now() + forMs;
            await Promise.all([
                inject(random, actions, [shortestGapMs, longestGapMs], endsAtMs),
                inject(loadRandom, loadActions, [shortestLoadGapMs, longestLoadGapMs], endsAtMs),
                inject(connectionRandom, connectionActions, [shortestSilenceGapMs, longestSilenceGapMs], endsAtMs),
            ]);
            isOver = true;
            await Promise.all(pending);
        },
    };
}
