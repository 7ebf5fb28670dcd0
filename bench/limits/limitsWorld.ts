import { install } from "@sinonjs/fake-timers";
import { Left, Right } from "purify-ts";
import type { Configuration } from "../../src/configuration";
import { createLimits, type Hold, type Limits } from "../../src/limits";
import type { Members } from "../../src/members";
import type { Peer, Peers } from "../../src/peers";
import type { Platform, SwapFailure } from "../../src/platform";
import { applyCommand, type Change, createEmptyState, type FleetState, type UpperLimit } from "../../src/state";
import type { RunTaskRequest, TaskSize, Workers } from "../../src/workers";
import {
    createFakeNetwork,
    createFakePlatform,
    createFakeProcesses,
    createFakeWorkers,
    type FakeNetwork,
    type FakePlatform,
    type FakeProcess,
    type FakeWorkers,
} from "../../standins/fakes";
import { createLimitsJudge, type LimitsJudge } from "./limitsJudge";

/** A mechanism that a test switches off by its wiring, to see that the judge notices. */
export type LimitsDefect = "silentCountsAsGone" | "conflictCountsAsWritten" | "leaseTooShort" | "unknownFreesRoom";

/** A worker checks its leases now and then, and a renewal may be under way: dispatch waits longer than the lease. */
const lateEndMs = 1000;

export interface LimitsWorldOptions {
    readonly defect?: LimitsDefect;
    readonly leaseMs?: number;
    /** One way of a message between entries, and of a call to the platform, in milliseconds. */
    readonly delayMs?: number;
    /** Called with each message that leaves an entry. */
    readonly onSend?: (topic: string, body: unknown) => void;
    /** Another way to count limits, for baselines. */
    readonly createLimits?: (entry: LimitsEntryPorts) => Limits;
}

export interface LimitsEntryPorts {
    readonly configuration: Pick<Configuration, "state" | "onChange">;
    readonly members: Members;
    readonly peers: Peers;
}

/** A task that waits at or runs from one entry. */
export interface WorldTask {
    readonly id: string;
    readonly team: string;
    readonly size: TaskSize;
    readonly runMs: number;
    readonly arrivedAtMs: number;
    startedAtMs?: number;
    isOver: boolean;
}

export interface WorldEntry {
    readonly peer: Peer;
    readonly process: FakeProcess;
    readonly limits: Limits;
    readonly queue: WorldTask[];
    readonly running: ReadonlyMap<string, AbortController>;
    /** The configuration that this entry has learnt; held back where `isStale`. */
    state: FleetState;
    isStale: boolean;
    isStopped: boolean;
    submit(task: Omit<WorldTask, "arrivedAtMs" | "isOver">): WorldTask;
    /** Callers give up on everything: nothing waits any more, and nobody hears how running tasks end. */
    cancelAll(): void;
}

export interface LimitsWorld {
    readonly clock: ReturnType<typeof install>;
    readonly platform: FakePlatform;
    readonly network: FakeNetwork;
    readonly workers: FakeWorkers;
    readonly entries: WorldEntry[];
    readonly judge: LimitsJudge;
    startEntry(zone: string, instance?: string): WorldEntry;
    kill(entry: WorldEntry): void;
    freeze(entry: WorldEntry): void;
    wake(entry: WorldEntry): void;
    stop(entry: WorldEntry): Promise<void>;
    cutZone(zone: string): void;
    /** Cuts the zone's links to other entries, not to the platform. */
    cutLinks(zone: string): void;
    healZones(): void;
    setTeam(name: string, limit: UpperLimit): void;
    removeTeam(name: string): void;
    /** Asks each living entry whether limits are in force, and tells the judge. */
    checkInForce(): Promise<void>;
    living(): readonly WorldEntry[];
    /** The boot that wrote a ledger last. */
    lastWriter(): string;
    close(): void;
}

const workerName = "worker-1";
const configurationDelayMs = 40;
/** From the end of a boot until the instance list and the record of entries show it. */
export const goneDelayMs = 500;

export function createLimitsWorld(opts: LimitsWorldOptions = {}): LimitsWorld {
    const clock = install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    const processes = createFakeProcesses();
    const leaseMs = opts.leaseMs ?? 5000;
    const platform = createFakePlatform();
    const network = createFakeNetwork();
    platform.delayMs = opts.delayMs ?? 1;
    network.delayMs = opts.delayMs ?? 1;
    const workers = createFakeWorkers();
    workers.add(workerName, 1_000_000);
    const judge = createLimitsJudge(workers);
    const entries: WorldEntry[] = [];
    const recorded = new Map<string, Peer>();
    /** The boots that each entry has seen in the record since it started. */
    const seenSets: Set<string>[] = [];
    const cutZones = new Set<string>();
    const cutLinkZones = new Set<string>();
    let fleet = createEmptyState();
    let started = 0;
    let writer = "";
    platform.onWrite = (client) => {
        writer = client;
    };

    function change(changes: readonly Change[]): void {
        const record = {
            id: String(fleet.revision),
            by: "test",
            atMs: 0,
            reason: "test",
            command: { kind: "change", changes } as const,
        };
        fleet = applyCommand(fleet, record).orDefault(fleet);
        judge.learn(fleet);
        processes.outside(() => setTimeout(() => entries.forEach(deliverState), configurationDelayMs));
    }

    function deliverState(entry: WorldEntry): void {
        if (!entry.isStale && !platform.isDown && !platform.cutOff.has(entry.peer.boot)) {
            entry.state = fleet;
        }
    }

    function createMembersView(peer: Peer, peers: Peers): Members {
        const seen = new Set([...recorded.keys(), peer.boot]);
        seenSets.push(seen);
        const isSilent = (boot: string) => boot !== peer.boot && !peers.connected().some((each) => each.boot === boot);
        return {
            recorded: () => [...recorded.values()].map((each) => ({ ...each, listed: true })),
            proveEnded: (boots) => Promise.resolve(new Set(boots.filter((boot) => !recorded.has(boot)))),
            instances: () => undefined,
            instancesAgeMs: () => undefined,
            refresh: () => Promise.resolve(true),
            hasEnded: (boot) =>
                seen.has(boot) && !recorded.has(boot)
                || opts.defect === "silentCountsAsGone" && isSilent(boot),
            onChange: () => () => {},
            start() {},
            waitUntilRecorded: () => Promise.resolve(true),
            stop: () => Promise.resolve(),
        };
    }

    function wrapPeers(peers: Peers, process: FakeProcess): Peers {
        return {
            ...peers,
            connected: () => peers.connected(),
            send(boot, topic, body) {
                opts.onSend?.(topic, body);
                return processes.outside(() => peers.send(boot, topic, body));
            },
            onMessage: (topic, handler) =>
                peers.onMessage(topic, (from, body) => process.isKilled() || process.run(() => handler(from, body))),
        };
    }

    function wrapPlatform(real: Platform): Platform {
        return opts.defect !== "conflictCountsAsWritten" ? real : {
            ...real,
            compareAndSwap: async (key, expected, text) =>
                (await real.compareAndSwap(key, expected, text)).chainLeft((failure) =>
                    failure.kind === "conflict"
                        ? Right<number, SwapFailure>(expected + 1)
                        : Left<SwapFailure, number>(failure)
                ),
        };
    }

    function startEntry(zone: string, instance = `entry-${started + 1}`): WorldEntry {
        const boot = `boot-${++started}`;
        const peer: Peer = { boot, instance, region: "north", zone, peerUrl: `ws://${boot}` };
        const process = processes.create();
        const peers = wrapPeers(network.connect(peer), process);
        const configuration: Pick<Configuration, "state" | "onChange"> = {
            state: () => entry.state.revision === 0 ? undefined : entry.state,
            onChange: () => () => {},
        };
        const members = createMembersView(peer, peers);
        const limits = process.run(() =>
            opts.createLimits?.({ configuration, members, peers }) ?? createLimits({
                configuration,
                members,
                peers,
                platform: wrapPlatform(platform.connect(boot)),
                leaseMs: opts.defect === "leaseTooShort" ? 0 : leaseMs,
            })
        );
        const entry = createWorldEntry(peer, process, limits);
        entries.push(entry);
        recorded.set(boot, peer);
        seenSets.forEach((seen) => seen.add(boot));
        deliverState(entry);
        process.run(() => limits.start());
        applyCuts();
        return entry;
    }

    function createWorldEntry(peer: Peer, process: FakeProcess, limits: Limits): WorldEntry {
        const view = workers.connect(peer.boot);
        const queue: WorldTask[] = [];
        const running = new Map<string, AbortController>();

        function pump(): void {
            for (const task of [...queue]) {
                const hold = limits.tryAcquire(task.team, task.size, task.id);
                if (hold !== undefined) {
                    queue.splice(queue.indexOf(task), 1);
                    void run(task, hold);
                }
            }
        }

        async function run(task: WorldTask, hold: Hold): Promise<void> {
            const order = createOrder(task);
            task.startedAtMs = Date.now();
            const controller = new AbortController();
            running.set(task.id, controller);
            const result = await processes.outside(() => send(view, order, controller.signal));
            await process.awake();
            running.delete(task.id);
            task.isOver = true;
            process.run(() => {
                if (result === "unknown" && opts.defect !== "unknownFreesRoom") {
                    limits.releaseAfter(hold, leaseMs + lateEndMs);
                }
                else {
                    limits.release(hold);
                }
            });
        }

        async function send(client: Workers, order: RunTaskRequest, signal: AbortSignal) {
            return (await client.runTask({ instance: workerName, url: "" }, order, signal)).kind;
        }

        function createOrder(task: WorldTask): RunTaskRequest {
            const { team, size, id } = task;
            return {
                attempt: id,
                team,
                pool: "",
                assignmentNumber: 0,
                leaseMs,
                holder: peer.boot,
                size,
                payload: `run ${task.runMs}`,
            };
        }

        process.run(() => {
            limits.onCapacityAvailable(() => pump());
            setInterval(() => {
                const attempts = [...running.keys()];
                void processes.outside(() =>
                    view.renewLeases({ instance: workerName, url: "" }, { holder: peer.boot, attempts, leaseMs })
                );
            }, leaseMs / 3);
        });

        return {
            peer,
            process,
            limits,
            queue,
            running,
            state: createEmptyState(),
            isStale: false,
            isStopped: false,
            submit(given) {
                const task: WorldTask = { ...given, arrivedAtMs: Date.now(), isOver: false };
                queue.push(task);
                if (!process.isFrozen() && !process.isKilled()) {
                    process.run(pump);
                }
                return task;
            },
            cancelAll() {
                queue.length = 0;
                processes.outside(() => running.forEach((controller) => controller.abort()));
            },
        };
    }

    function forgetLater({ boot }: Peer): void {
        processes.outside(() => setTimeout(() => recorded.delete(boot), goneDelayMs));
    }

    function applyCuts(): void {
        network.cuts.clear();
        platform.cutOff.clear();
        for (const a of entries) {
            if (cutZones.has(a.peer.zone)) {
                platform.cutOff.add(a.peer.boot);
            }
            entries.filter((b) => isCutBetween(a.peer.zone, b.peer.zone))
                .forEach((b) => network.cuts.add(`${a.peer.boot}>${b.peer.boot}`));
        }
    }

    function isCutBetween(a: string, b: string): boolean {
        return a !== b && [a, b].some((zone) => cutZones.has(zone) || cutLinkZones.has(zone));
    }

    const world: LimitsWorld = {
        clock,
        platform,
        network,
        workers,
        entries,
        judge,
        startEntry,
        kill(entry) {
            entry.process.kill();
            network.remove(entry.peer.boot);
            forgetLater(entry.peer);
        },
        freeze(entry) {
            entry.process.freeze();
            network.frozen.add(entry.peer.boot);
        },
        wake(entry) {
            entry.process.wake();
            network.wake(entry.peer.boot);
        },
        async stop(entry) {
            entry.isStopped = true;
            entry.queue.length = 0;
            await entry.process.run(() => entry.limits.stop());
            world.kill(entry);
        },
        cutZone(zone) {
            cutZones.add(zone);
            applyCuts();
        },
        cutLinks(zone) {
            cutLinkZones.add(zone);
            applyCuts();
        },
        healZones() {
            cutZones.clear();
            cutLinkZones.clear();
            applyCuts();
            entries.forEach(deliverState);
        },
        setTeam: (name, limit) => change([{ kind: "setTeam", team: { name, weight: 1, limit, pools: [] } }]),
        removeTeam: (name) => change([{ kind: "removeTeam", name }]),
        async checkInForce() {
            for (const entry of world.living()) {
                const { revision } = entry.state;
                const read = await processes.outside(() => entry.limits.readDivisions());
                read.ifRight((divisions) =>
                    divisions.filter(({ isInForce }) => isInForce).forEach(({ team }) => judge.claim(team, revision))
                );
            }
        },
        lastWriter: () => writer,
        living: () =>
            entries.filter(({ process, isStopped }) => !process.isKilled() && !process.isFrozen() && !isStopped),
        close() {
            processes.uninstall();
            clock.uninstall();
        },
    };
    return world;
}
