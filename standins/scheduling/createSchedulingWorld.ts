import type { AdviceResult } from "../../src/advice";
import type { LogEvent } from "../../src/logging";
import type { Machine, MachineApi, MachineOrderResult } from "../../src/machines";
import { type Policy, termsOf, type Wave } from "../../src/policy";
import type { WorkerApi } from "../../src/runs";
import type { StateCopy, WorkerRegistration } from "../../src/scheduler";
import { encodeRecord, type Schedule, type Step, submissionKey } from "../../src/submissions";
import { createFakeNetwork, type FakeNetwork } from "../fakes";
import { createFakeStore, type FakeStore } from "./createFakeStore";
import { createFakeTaskWorkers, type FakeTaskWorkers } from "./createFakeTaskWorkers";
import { createSchedulingEntry, restartMs, type SchedulingEntry, workerPrefix } from "./createSchedulingEntry";
import { delayOrder, type MachineOrderFault } from "./delayOrder";
import { plainPolicy, plainSubmission } from "./plainPolicy";

export interface SchedulingWorldOptions {
    /** How workers write of themselves to the store; as the scenarios' decoder reads it where left out. */
    readonly entryOf?: (entry: WorkerRegistration) => { readonly key: string; readonly text: string; };
    /** Where calls to a worker go; its id where left out. */
    readonly addressOf?: (id: string) => string;
    /** What entries call in place of the workers. */
    readonly workerApiOf?: (api: WorkerApi) => WorkerApi;
    /** What an entry that becomes owner is given in place of its copy of the state. */
    readonly copyOf?: (copy: StateCopy | undefined, token: number) => StateCopy | undefined;
}

export interface SchedulingWorld {
    /** Links between the entries. */
    readonly network: FakeNetwork;
    /** Whether entries have their peers call the workers. */
    areBusy: boolean;
    /** Whether entries that don't own the duty are designated standbys, which keep a copy of the state. */
    areStandbysDesignated: boolean;
    /** How long answers to the standbys' watches are held up, in milliseconds, so that their copies are older. */
    copyLagMs: number;
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
    /** Whether entries have read a configuration. */
    isPolicyKnown: boolean;
    /** Replaces the configuration and tells the owner. */
    applyPolicy(policy: Policy): void;
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
    advise(workerIds: readonly string[], step: string): Promise<AdviceResult>;
    addEntry(name: string): SchedulingEntry;
    /** Under an id that is known already: another life of that worker. */
    addWorker(id: string, pool?: string, kind?: string): void;
    /** Writes a worker's entry as its life now would. */
    writeEntry(id: string, pool?: string, kind?: string): void;
    submit(
        id: string,
        steps: readonly Partial<Step>[],
        options?: {
            readonly route?: string;
            readonly tenant?: string;
            readonly hasTerms?: boolean;
            readonly schedule?: Schedule;
        },
    ): void;
    cancel(id: string): void;
    owner(): SchedulingEntry | undefined;
    /** Events of all entries, also of those that are gone. */
    events(): readonly LogEvent[];
    /** Moves the stand-ins on; to be called each few milliseconds. */
    tick(): void;
    close(): void;
}

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
        areStandbysDesignated: false,
        copyLagMs: 0,
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
        isPolicyKnown: true,
        applyPolicy(policy) {
            world.policy = policy;
            entries.forEach((entry) => entry.scheduler()?.policyChanged());
        },
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
            const entry = createSchedulingEntry(name, world, machines, workerApi, opts.copyOf);
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
        submit(id, steps, { route = "stalls", tenant = "giza", hasTerms = true, schedule } = {}) {
            const queue = world.policy.queues.find(({ name }) => name === route);
            const account = world.policy.tenants.find(({ name }) => name === tenant);
            const terms = hasTerms && queue !== undefined ? { terms: termsOf(queue) } : {};
            const cap = hasTerms && account !== undefined ? { accountCap: account.cap } : {};
            const submission = {
                ...plainSubmission(id, steps),
                tenant,
                route,
                ...terms,
                ...cap,
                ...schedule === undefined ? {} : { schedule },
            };
            store.put(submissionKey(id), encodeRecord({ kind: "open", submission, isCancelled: false }));
        },
        cancel(id) {
            const item = store.get(submissionKey(id));
            store.put(submissionKey(id), JSON.stringify({ ...JSON.parse(item?.text ?? "{}"), isCancelled: true }));
        },
        events: () => entries.flatMap(({ log }) => log),
        owner: () => entries.find((entry) => entry.scheduler() !== undefined),
        tick() {
            store.expireLeases();
            workers.tick();
        },
        close: () => entries.forEach((entry) => entry.kill()),
    };
    return world;
}
