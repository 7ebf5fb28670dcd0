import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { leaderKey, type LeaderRecord } from "../src/duties";
import type { Policy } from "../src/policy";
import { createSchedulingWorld, plainPolicy, plainRoute, type SchedulingWorld } from "../standins/scheduling";
import {
    encodePolicy,
    encodeWave,
    encodeWorkerEntry,
    type JsonServer,
    serveMachines,
    serveStore,
    serveWorker,
} from "../standins/usersPlatform";
import { type Proxy, startProxy } from "./createProxy";
import { type Entry, type EntryOptions, startEntry } from "./startEntry";

export interface WorldOptions {
    readonly seed: number;
    readonly entries: number;
    readonly workers: number;
    /** Flags and settings of every entry. */
    readonly entryOptions?: Pick<EntryOptions, "nodeFlags" | "extraSettings">;
}

/** The platform's stand-ins in this process, the entries as processes, and every path between them. */
export interface World {
    readonly platform: SchedulingWorld;
    readonly entries: readonly Entry[];
    readonly workerIds: readonly string[];
    /** Paths from all entries to a worker, by its id. */
    readonly toWorkers: ReadonlyMap<string, Proxy>;
    /** Where the entries' logs lie. */
    readonly folder: string;
    /** Name of the entry that holds the duty by the store; `undefined`: none. */
    findOwner(): string | undefined;
    /** Fencing token of that entry. */
    findOwnerToken(): number | undefined;
    /** Takes a key away from the tenant, as operators do. */
    revokeKey(key: string): void;
    /** Adds a route, as operators do; returns its path. */
    addRoute(name: string): string;
    /** Asks for the upkeep of all machines. */
    startWave(maxDown: number): void;
    /** Ends every process and server that it started. */
    stop(): void;
}

export const keptKey = "key-kept";
export const revokedKey = "key-revoked";

/** Key of the second client account, which sends bursts far beyond its rate. */
export const burstKey = "key-burst";

/** Rates of the two client accounts, in submissions per second. The traffic of the first is about half of its rate. */
const [usualWeight, burstWeight] = [10, 1];

/** Paths and leases of the stand-ins move on this often, in milliseconds. */
const tickMs = 10;

/** Ports of the entries; each entry has an address of its own. */
const firstPort = 18_340;

const zones = ["zone-a", "zone-b", "zone-c"];

export async function createWorld({ seed, entries, workers, entryOptions }: WorldOptions): Promise<World> {
    const servers: JsonServer[] = [];
    const toWorkers = new Map<string, Proxy>();
    const platform = createSchedulingWorld({
        entryOf: encodeWorkerEntry,
        addressOf: (id) => toWorkers.get(id)?.address ?? "",
    });
    const workerIds = Array.from({ length: workers }, (_, at) => `worker-${at + 1}`);

    /** A worker's path has to be there before its entry names it; lives of a machine come one after the other. */
    async function openPath(id: string): Promise<void> {
        const server = await serveWorker(platform.workers.api, id);
        servers.push(server);
        toWorkers.set(id, await startProxy(`to ${id}`, server.address));
    }

    // A machine comes back from a move or an upkeep as another worker, whose id has one more mark.
    const lives = workerIds.flatMap((id) => [id, `${id}+`, `${id}++`, `${id}+++`]);
    await Promise.all(lives.map(openPath));
    workerIds.forEach((id) => platform.addWorker(id));
    platform.setMachines(workerIds.map((id) => ({
        id: `machine-${id}`,
        pool: "stalls",
        state: "up",
        zone: "zone-a",
        labels: [],
        capacity: { cpuMillis: 4000, memoryMb: 16_000, accelerators: 0 },
        workerId: id,
    })));
    let policy: Policy = {
        ...plainPolicy,
        tenants: [
            { ...plainPolicy.tenants[0]!, keys: [keptKey, revokedKey], weight: usualWeight },
            { ...plainPolicy.tenants[0]!, name: "aswan", keys: [burstKey], weight: burstWeight },
        ],
    };
    const write = ({ key, text }: { key: string; text: string; }) => platform.store.put(key, text);
    const change = (fields: Partial<Policy>) => {
        policy = { ...policy, version: policy.version + 3, ...fields };
        write(encodePolicy(policy));
    };
    write(encodePolicy(policy));

    const folder = mkdtempSync(join(tmpdir(), `samphirepin-soak-${seed}-`));
    const machines = await serveMachines(platform.machines);
    servers.push(machines);
    const started = await Promise.all(
        Array.from({ length: entries }, async (_, at) => {
            const name = `entry-${at + 1}`;
            const store = await serveStore(platform.store.connect(name));
            servers.push(store);
            return startEntry({
                name,
                zone: zones[at % zones.length] ?? "",
                host: `127.${64 + seed % 64}.${Math.floor(seed / 64) % 250}.${at + 10}`,
                folder,
                storeAddress: store.address,
                machinesAddress: machines.address,
                port: firstPort,
                ...entryOptions,
            });
        }),
    );
    const timer = setInterval(() => platform.tick(), tickMs);
    return {
        platform,
        entries: started,
        workerIds,
        toWorkers,
        folder,
        findOwner() {
            const item = platform.store.get(leaderKey);
            return item === undefined ? undefined : (JSON.parse(item.text) as LeaderRecord).instance;
        },
        findOwnerToken: () => platform.store.get(leaderKey)?.revision,
        revokeKey(key) {
            change({
                tenants: policy.tenants.map((tenant) => ({
                    ...tenant,
                    keys: tenant.keys.filter((known) => known !== key),
                })),
            });
        },
        addRoute(name) {
            const pathPrefix = `/${name}/`;
            change({ queues: [...policy.queues, { ...plainRoute, name, pathPrefix }] });
            return pathPrefix;
        },
        startWave: (maxDown) => write(encodeWave(1, workerIds.map((id) => `machine-${id}`), 30, maxDown)),
        stop() {
            clearInterval(timer);
            started.forEach((entry) => entry.close());
            toWorkers.forEach((proxy) => proxy.close());
            servers.forEach((server) => server.close());
        },
    };
}
