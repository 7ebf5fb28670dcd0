import type { AdviceResult } from "../../src/advice";
import { createLeaderElection, leaderKey } from "../../src/duties";
import type { LogEvent } from "../../src/logging";
import type { Machine, MachineApi, MachineOrderResult } from "../../src/machines";
import type { Policy, Wave } from "../../src/policy";
import { createRelayedWorkerApi, type WorkerApi } from "../../src/runs";
import { createScheduler, type Scheduler, type WorkerDecoder, type WorkerRegistration } from "../../src/scheduler";
import { createPrefixWatcher, type Store } from "../../src/store";
import { encodeRecord, type Step, submissionKey } from "../../src/submissions";
import { createFakeNetwork, type FakeNetwork } from "../fakes";
import { createCallGate } from "./createCallGate";
import { createFakeStore, type FakeStore } from "./createFakeStore";
import { createFakeTaskWorkers, type FakeTaskWorkers } from "./createFakeTaskWorkers";
import { delayOrder, type MachineOrderFault } from "./delayOrder";
import { plainPolicy, plainSubmission } from "./plainPolicy";

/** One entry that competes for the duty. */
export interface SchedulingEntry {
    readonly name: string;
    readonly store: Store;
    scheduler(): Scheduler | undefined;
    /** The process is gone; nothing is handed over. */
    kill(): void;
    /** Its calls and their answers are held until it wakes. */
    freeze(): void;
    wake(): void;
    /** Whether it can do the work well; one that cannot gives the duty up. */
    setFit(isFit: boolean): void;
    /** The process is told to end and gives the duty up. */
    stop(): void;
    /** Events at the owner, as it logged them. */
    readonly log: readonly LogEvent[];
}

export interface SchedulingWorldOptions {
    /** How workers write of themselves to the store; as the scenarios' decoder reads it where left out. */
    readonly entryOf?: (entry: WorkerRegistration) => { readonly key: string; readonly text: string; };
    /** Where calls to a worker go; its id where left out. */
    readonly addressOf?: (id: string) => string;
    /** What entries call in place of the workers. */
    readonly workerApiOf?: (api: WorkerApi) => WorkerApi;
}

export interface SchedulingWorld {
    /** Links between the entries. */
    readonly network: FakeNetwork;
    /** Whether entries have their peers call the workers. */
    areBusy: boolean;
    /** The platform's interface for machines. */
    readonly machines: MachineApi;
    readonly store: FakeStore;
    readonly workers: FakeTaskWorkers;
    /** Most machines that were away at once by order. */
    mostDown(): number;
    /** Most machines that were down for a wave at once. */
    mostMaintained(): number;
    /** Orders that reached the platform's interface for machines. */
    readonly machineOrders: readonly string[];
    machineOrderFault: MachineOrderFault | undefined;
    /** A machine's next worker has the id of the one before it. */
    areIdsKept: boolean;
    /** How long the entry of a worker that has left by order stays in the store, in milliseconds. */
    staleEntryMs: number;
    /** Calls with such orders, also those for which nothing was left to do. */
    readonly machineCalls: readonly string[];
    /** The list shows machines as they were this long ago, in milliseconds. */
    setListLag(lagMs: number): void;
    setMachines(machines: readonly Machine[]): void;
    /** The platform's list of machines as it is now. */
    listed(): readonly Machine[];
    waves: Wave[];
    policy: Policy;
    /** Availability zones whose workers are to be sent nothing new. */
    readonly evacuatedZones: Set<string>;
    /** Begins or ends an evacuation and tells the owner. */
    evacuate(zone: string, isOn: boolean): void;
    areEvacuationsHeard: boolean;
    /** Whether standbys acknowledge the leader's heartbeats. */
    isLeaderHeard: boolean;
    /** Whether entries hear what operators ask for. */
    isPolicyFresh: boolean;
    /** Availability zones of workers, by id; `zone-a` where none is given. */
    readonly zones: Map<string, string>;
    /** What the advice service answers; all workers are good at first. */
    advise(workerIds: readonly string[]): Promise<AdviceResult>;
    addEntry(name: string): SchedulingEntry;
    /** Under an id that is known already: another life of that worker. */
    addWorker(id: string, pool?: string, kind?: string): void;
    /** Writes a worker's entry as its life now would. */
    writeEntry(id: string, pool?: string, kind?: string): void;
    submit(
        id: string,
        steps: readonly Partial<Step>[],
        options?: { readonly route?: string; readonly tenant?: string; },
    ): void;
    cancel(id: string): void;
    owner(): SchedulingEntry | undefined;
    /** Moves the stand-ins on; to be called each few milliseconds. */
    tick(): void;
    close(): void;
}

/** How long a machine is down for a move or an upkeep, in milliseconds. */
const restartMs = 1500;

const workerPrefix = "workers/";

const decoder: WorkerDecoder = {
    prefix: workerPrefix,
    idOf: (key) => key.slice(workerPrefix.length),
    decode: (_key, text) => JSON.parse(text) as WorkerRegistration,
};

/** Entries that schedule over a store, workers and machines in memory. */
export function createSchedulingWorld(opts: SchedulingWorldOptions = {}): SchedulingWorld {
    const entryOf = opts.entryOf ?? ((entry) => ({ key: workerPrefix + entry.id, text: JSON.stringify(entry) }));
    const written = new Map<string, string>();
    const store = createFakeStore();
    const workers = createFakeTaskWorkers();
    const workerApi = opts.workerApiOf?.(workers.api) ?? workers.api;
    const entries: SchedulingEntry[] = [];
    const machineOrders: string[] = [];
    const machineCalls: string[] = [];
    let mostDown = 0;
    let mostMaintained = 0;
    const away = new Set<string>();
    const maintained = new Set<string>();
    let machineList: readonly Machine[] = [];
    let listLagMs = 0;
    const listHistory: { readonly atMs: number; readonly machines: readonly Machine[]; }[] = [];
    const machines: MachineApi = {
        list: () => Promise.resolve({ kind: "machines", machines: listAsOf(performance.now() - listLagMs) }),
        move: (machine, pool) => callOrder(`move ${machine} ${pool}`),
        maintain: (machine, wave) => callOrder(`maintain ${machine} ${wave}`),
    };

    function callOrder(text: string): Promise<MachineOrderResult> {
        machineCalls.push(text);
        return delayOrder(world.machineOrderFault, () => order(text));
    }

    function listAsOf(atMs: number): readonly Machine[] {
        return listHistory.findLast((known) => known.atMs <= atMs)?.machines ?? listHistory[0]?.machines ?? [];
    }

    function setList(next: readonly Machine[]): void {
        machineList = next;
        listHistory.push({ atMs: performance.now(), machines: next });
    }

    function order(text: string): MachineOrderResult {
        if (text.startsWith("maintain") && machineOrders.includes(text)) {
            return { kind: "done" };
        }
        const [, id = "", target = ""] = text.split(" ");
        const machine = machineList.find((known) => known.id === id);
        if (away.has(id)) {
            return { kind: "busy" };
        }
        machineOrders.push(text);
        if (text.startsWith("maintain")) {
            maintained.add(id);
            mostMaintained = Math.max(mostMaintained, maintained.size);
        }
        if (machine !== undefined) {
            restart(machine, text.startsWith("move") ? target : machine.pool);
        }
        return { kind: "done" };
    }

    function removeEntry(workerId: string): void {
        const key = written.get(workerId) ?? "";
        if (world.staleEntryMs === 0) {
            store.remove(key);
            return;
        }
        setTimeout(() => store.remove(key), world.staleEntryMs);
    }

    /** Everything on the machine ends; after a while a new worker joins the pool. */
    function restart(machine: Machine, pool: string): void {
        const workerId = machine.workerId ?? `${machine.id}-worker`;
        const replace = (next: Partial<Machine>) =>
            setList(machineList.map((known) => known.id === machine.id ? { ...known, ...next } : known));
        if (machine.workerId !== undefined) {
            workers.get(machine.workerId).crash();
            removeEntry(machine.workerId);
        }
        replace({ state: machine.workerId === undefined ? "up" : "maintenance", workerId: undefined });
        away.add(machine.id);
        mostDown = Math.max(mostDown, away.size);
        setTimeout(() => {
            away.delete(machine.id);
            maintained.delete(machine.id);
            if (world.policy.pools.get(pool)?.isStandby === true) {
                replace({ state: "up", pool });
                return;
            }
            const nextId = world.areIdsKept ? workerId : `${workerId}+`;
            world.zones.set(nextId, machine.zone);
            world.addWorker(nextId, pool);
            replace({ state: "up", pool, workerId: nextId });
        }, restartMs);
    }

    const world: SchedulingWorld = {
        network: createFakeNetwork(),
        areBusy: false,
        machines,
        store,
        workers,
        machineOrders,
        machineOrderFault: undefined,
        areIdsKept: false,
        staleEntryMs: 0,
        machineCalls,
        mostDown: () => mostDown,
        mostMaintained: () => mostMaintained,
        waves: [],
        policy: plainPolicy,
        evacuatedZones: new Set(),
        evacuate(zone, isOn) {
            if (isOn) {
                world.evacuatedZones.add(zone);
            }
            else {
                world.evacuatedZones.delete(zone);
            }
            entries.forEach((entry) => entry.scheduler()?.policyChanged());
        },
        areEvacuationsHeard: true,
        isLeaderHeard: true,
        isPolicyFresh: true,
        zones: new Map(),
        advise: (workerIds) =>
            Promise.resolve({
                kind: "permits",
                permits: workerIds.map((workerId) => ({ workerId, ticket: `ticket ${workerId}` })),
                validityMs: 3000,
            }),
        setListLag(lagMs) {
            listLagMs = lagMs;
        },
        setMachines: setList,
        listed: () => machineList,
        addEntry(name) {
            const entry = createEntry(name, world, machines, workerApi);
            entries.push(entry);
            return entry;
        },
        addWorker(id, pool, kind) {
            workers.add(id);
            world.writeEntry(id, pool, kind);
        },
        writeEntry(id, pool = "stalls", kind = "a") {
            const { bornMs } = workers.get(id);
            const { key, text } = entryOf({
                id,
                bornMs,
                pool,
                address: opts.addressOf?.(id) ?? id,
                zone: world.zones.get(id) ?? "zone-a",
                isDraining: false,
                drainLeftMs: 0,
                capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
                labels: [kind, "r1"],
                rack: "r1",
            });
            written.set(id, key);
            store.put(key, text);
        },
        submit(id, steps, { route = "stalls", tenant = "giza" } = {}) {
            const submission = { ...plainSubmission(id, steps), tenant, route };
            store.put(submissionKey(id), encodeRecord({ kind: "open", submission, isCancelled: false }));
        },
        cancel(id) {
            const item = store.get(submissionKey(id));
            store.put(submissionKey(id), JSON.stringify({ ...JSON.parse(item?.text ?? "{}"), isCancelled: true }));
        },
        owner: () => entries.find((entry) => entry.scheduler() !== undefined),
        tick() {
            store.expireLeases();
            workers.tick();
        },
        close: () => entries.forEach((entry) => entry.kill()),
    };
    return world;
}

function createEntry(
    name: string,
    world: SchedulingWorld,
    machines: MachineApi,
    directApi: WorkerApi,
): SchedulingEntry {
    const gate = createCallGate();
    const store = gate.wrap(world.store.connect(name));
    const log: LogEvent[] = [];
    const clocks = { monotonicMs: () => performance.now(), suspendAwareMs: () => performance.now() };
    let scheduler: Scheduler | undefined;
    let isKilled = false;
    let isFit = true;
    const peer = { boot: name, instance: name, region: "north", zone: "zone-a", peerUrl: `ws://${name}` };
    const workerApi = createRelayedWorkerApi({
        direct: gate.wrap(directApi),
        peers: world.network.connect(peer),
        isBusy: () => world.areBusy,
        nowMs: clocks.monotonicMs,
    });
    const duty = createLeaderElection({
        store,
        clocks,
        holder: { boot: name, instance: name },
        report: (event) => log.push(event),
        minTtlMs: 1000,
        fitness: () => isFit ? "fit" : "slow",
        isHeard: () => world.isLeaderHeard,
        onGained(tenure) {
            scheduler = createScheduler({
                store,
                workerApi,
                machines,
                advice: { ask: (_step, workerIds) => world.advise(workerIds) },
                decoder,
                tenure,
                holder: name,
                clocks,
                report: (event) => log.push(event),
                bounds: {
                    maxLeaseMs: 6000,
                    keepFinishedMs: 120_000,
                    minMachineHandoverMs: 3000,
                    maintenanceMs: restartMs,
                    moveMs: restartMs,
                    maxStopMs: 900,
                    machineOrdersPerSecond: 64,
                },
                policy: () => world.policy,
                waves: () => world.waves,
                evacuatedZones: () => world.areEvacuationsHeard ? world.evacuatedZones : new Set(),
                isPolicyFresh: () => world.isPolicyFresh,
                reportWave: () => Promise.resolve(true),
                onFenced: () => duty.onFenced(),
            });
            void scheduler.start();
        },
        onLost() {
            scheduler?.stop();
            scheduler = undefined;
        },
    });
    const follower = createPrefixWatcher({
        store,
        prefix: leaderKey,
        waitMs: 2000,
        pauseMs: 0,
        nowMs: clocks.monotonicMs,
        onItem() {},
        onBatch: () => duty.updateLeader(follower.items.get(leaderKey)),
    });
    follower.start();
    duty.start();
    return {
        name,
        store,
        log,
        scheduler: () => isKilled ? undefined : scheduler,
        freeze() {
            gate.freeze();
            world.network.frozen.add(name);
        },
        wake() {
            gate.wake();
            world.network.wake(name);
        },
        setFit(next) {
            isFit = next;
        },
        stop() {
            isKilled = true;
            void duty.resign();
        },
        kill() {
            isKilled = true;
            gate.close();
            world.network.remove(name);
            duty.stop();
            follower.stop();
            scheduler?.stop();
        },
    };
}
