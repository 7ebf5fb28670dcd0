import type { Configuration } from "../../src/configuration";
import { createDispatch, type Dispatch } from "../../src/dispatch";
import type { LogEvent } from "../../src/logging";
import type { Peers } from "../../src/peers";
import { createPoolIndex } from "../../src/pools";
import { createShares, type Shares, type SharesOptions } from "../../src/shares";
import { createEmptyState, type FleetState, type Instance, type Team } from "../../src/state";
import type { TaskEnd, TaskRequest } from "../../src/tasks";
import type { TaskResult, Workers } from "../../src/workers";
import { createFakeNetwork, createFakeWorkers, type FakeNetwork, type FakeWorkers } from "../fakes";
import { createFakeLimits, type FakeLimits } from "./createFakeLimits";

export interface DispatchWorldOptions {
    /** Zone of each entry. */
    readonly entryZones: readonly string[];
    /** Workers of each pool, by zone. */
    readonly pools: Readonly<Record<string, Readonly<Record<string, number>>>>;
    readonly slots?: number;
    readonly teams: readonly { readonly name: string; readonly weight: number; readonly limit: number; }[];
    readonly random: () => number;
    readonly bounds?: { readonly tasksPerTeam: number; readonly tasks: number; };
    readonly leaseMs?: number;
    readonly reportMs?: number;
    /** False: log events are not kept. */
    readonly keepsEvents?: boolean;
    /** Another way to choose who is next, such as a baseline. */
    readonly createShares?: (opts: SharesOptions) => Shares;
    /** Called with every message between entries. */
    readonly onMessage?: (topic: string, body: unknown) => void;
}

export interface WorldEntry {
    readonly boot: string;
    readonly zone: string;
    readonly dispatch: Dispatch;
    readonly shares: Shares;
    readonly events: LogEvent[];
    /** Tasks of the team that wait here for the pool, counted from what was sent and what has started or ended. */
    waitingOf(pool: string, team: string): number;
    run(task: Partial<TaskRequest>, signal?: AbortSignal): Promise<TaskEnd>;
}

export interface DispatchWorld {
    readonly entries: readonly WorldEntry[];
    readonly workers: FakeWorkers;
    readonly network: FakeNetwork;
    readonly limits: FakeLimits;
    readonly leaving: Set<string>;
    /** Most orders that one entry had under way at one worker. */
    mostOrdersUnderWay(): number;
    state(): FleetState;
    setInstance(name: string, change: Partial<Instance>): void;
    /** Holds back every answer to the entry, and every call of it, until it is woken. */
    freeze(boot: string): void;
    wake(boot: string): void;
    /** Loses the answers of all orders that the entry has under way; the tasks run on. */
    breakConnections(boot: string): void;
    stop(): Promise<void>;
}

const capacity = { processors: 32, memoryMb: 128_000, accelerators: 0 };
export const tasksPerWorker = 6;

export function createDispatchWorld(opts: DispatchWorldOptions): DispatchWorld {
    const workers = createFakeWorkers();
    const network = createFakeNetwork();
    const leaving = new Set<string>();
    const limits = createFakeLimits((team) => opts.teams.find(({ name }) => name === team)?.limit ?? 0);
    const gates = new Map<string, { readonly open: Promise<void>; release(): void; }>();
    const breakers = new Map<string, Set<() => void>>();
    const underWay = new Map<string, number>();
    let mostUnderWay = 0;
    let state = createState(opts);
    Object.values(state.instances).forEach(({ name, slots }) => workers.add(name, slots));

    const configuration: Pick<Configuration, "state" | "onChange"> = {
        state: () => state,
        onChange: () => () => {},
    };

    function count(boot: string, instance: string, by: 1 | -1): void {
        const key = `${boot} ${instance}`;
        underWay.set(key, (underWay.get(key) ?? 0) + by);
        mostUnderWay = Math.max(mostUnderWay, underWay.get(key) ?? 0);
    }

    /** The call's own result, or a lost connection where that comes first. */
    function breakable(boot: string, call: Promise<TaskResult>): Promise<TaskResult> {
        const list = breakers.get(boot) ?? new Set();
        breakers.set(boot, list);
        return new Promise((resolve) => {
            const breakOne = () => resolve({ kind: "unknown", reason: "connectionLost" });
            list.add(breakOne);
            void call.then((result) => {
                list.delete(breakOne);
                resolve(result);
            });
        });
    }

    function connectWorkers(boot: string): Workers {
        const inner = workers.connect(boot);
        async function gated<T>(call: () => Promise<T>): Promise<T> {
            await gates.get(boot)?.open;
            const result = await call();
            await gates.get(boot)?.open;
            return result;
        }
        return {
            async runTask(worker, order, signal) {
                count(boot, worker.instance, 1);
                const result = await breakable(boot, gated(() => inner.runTask(worker, order, signal)));
                count(boot, worker.instance, -1);
                return result;
            },
            renewLeases: (worker, renewal) => gated(() => inner.renewLeases(worker, renewal)),
            stopTask: (worker, attempt, mode) => gated(() => inner.stopTask(worker, attempt, mode)),
            readUsage: (worker) => gated(() => inner.readUsage(worker)),
            sendCommand: (worker, notice) => inner.sendCommand(worker, notice),
            close: () => inner.close(),
        };
    }

    function watchPeers(peers: Peers): Peers {
        return {
            ...peers,
            send(boot, topic, body) {
                opts.onMessage?.(topic, body);
                return peers.send(boot, topic, body);
            },
            broadcast(topic, body) {
                peers.connected().forEach(({ boot }) => this.send(boot, topic, body));
            },
        };
    }

    function createWorldEntry(zone: string, at: number): WorldEntry {
        const boot = `entry-${at + 1}`;
        const region = "north";
        const peers = watchPeers(network.connect({ boot, instance: boot, region, zone, peerUrl: `ws://${boot}` }));
        const pools = createPoolIndex({ region, zone, configuration });
        const shares = (opts.createShares ?? createShares)({
            configuration,
            peers,
            pools,
            reportMs: opts.reportMs ?? 500,
            random: opts.random,
        });
        const events: LogEvent[] = [];
        const dispatch = createDispatch({
            boot,
            configuration,
            limits: limits.limits,
            workers: connectWorkers(boot),
            peers,
            pools,
            shares,
            report: (event) => opts.keepsEvents === false || events.push(event),
            leaseMs: opts.leaseMs ?? 3000,
            bounds: opts.bounds ?? { tasksPerTeam: 500, tasks: 4000 },
            maxTasksPerWorker: tasksPerWorker,
            usageIntervalMs: 1000,
            isLeaving: (instance) => leaving.has(instance),
            random: opts.random,
        });
        shares.start();
        dispatch.start();
        let nextTask = 1;
        const waiting = new Map<string, number>();
        return {
            boot,
            zone,
            dispatch,
            shares,
            events,
            waitingOf: (pool, team) => waiting.get(`${pool} ${team}`) ?? 0,
            run(task, signal = new AbortController().signal) {
                const request = createTask(`${boot}.${nextTask++}`, task);
                const key = `${request.pool} ${request.team}`;
                waiting.set(key, (waiting.get(key) ?? 0) + 1);
                let isWaiting = true;
                const leave = () => {
                    waiting.set(key, (waiting.get(key) ?? 0) - (isWaiting ? 1 : 0));
                    isWaiting = false;
                    return Promise.resolve(undefined);
                };
                const end = dispatch.run({ task: request, signal, beforeSend: leave });
                return end.finally(() => void leave());
            },
        };
    }

    const entries = opts.entryZones.map(createWorldEntry);
    return {
        entries,
        workers,
        network,
        limits,
        leaving,
        mostOrdersUnderWay: () => mostUnderWay,
        state: () => state,
        setInstance(name, change) {
            const instance = { ...state.instances[name]!, ...change };
            const instances = { ...state.instances, [name]: instance };
            state = { ...state, revision: state.revision + 1, instances };
        },
        freeze(boot) {
            if (gates.has(boot)) {
                return;
            }
            let release: () => void = () => {};
            const open = new Promise<void>((resolve) => {
                release = resolve;
            });
            gates.set(boot, { open, release });
            network.frozen.add(boot);
        },
        wake(boot) {
            gates.get(boot)?.release();
            gates.delete(boot);
            network.wake(boot);
        },
        breakConnections(boot) {
            breakers.get(boot)?.forEach((breakOne) => breakOne());
            breakers.get(boot)?.clear();
        },
        async stop() {
            await Promise.all(entries.map(async ({ dispatch, shares }) => {
                await dispatch.stop();
                shares.stop();
            }));
        },
    };
}

function createTask(id: string, task: Partial<TaskRequest>): TaskRequest {
    return {
        id,
        team: "stables",
        pool: "stalls",
        size: { processors: 1, memoryMb: 1000, accelerators: 0 },
        expectedRunMs: 50,
        deadlineAtMs: Date.now() + 10_000,
        urgent: false,
        repeatable: true,
        payload: `run 50 #${id}`,
        ...task,
    };
}

function createState(opts: DispatchWorldOptions): FleetState {
    const instances: Record<string, Instance> = {};
    for (const [pool, zones] of Object.entries(opts.pools)) {
        for (const [zone, count] of Object.entries(zones)) {
            for (let at = 1; at <= count; at++) {
                const name = `${pool}-${zone}-${at}`;
                instances[name] = {
                    name,
                    url: `http://${name}`,
                    region: "north",
                    zone,
                    rack: `${zone}-${Math.ceil(at / 4)}`,
                    slots: opts.slots ?? 8,
                    capacity,
                    pool,
                    assignmentNumber: 1,
                    state: { kind: "serving" },
                };
            }
        }
    }
    const pools = Object.fromEntries(Object.keys(opts.pools).map((name) => [name, { name, maxUnavailable: 1 }]));
    const teams = Object.fromEntries(opts.teams.map(({ name, weight, limit }): [string, Team] => {
        const whole = { tasks: limit, processors: limit * 32, memoryMb: limit * 128_000, accelerators: 0 };
        return [name, { name, weight, limit: whole, pools: Object.keys(opts.pools), keys: {} }];
    }));
    return { ...createEmptyState(), revision: 1, instances, pools, teams };
}
