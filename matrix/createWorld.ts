import { createHash } from "node:crypto";
import { type Core, createCore } from "../src/entry";
import { createSecret, type Secret } from "../src/keys";
import { createMetrics } from "../src/metrics";
import { readSettings } from "../src/settings";
import type { Change } from "../src/state";
import { createFakeNetwork, createFakePlatform, createFakeWorkers } from "../standins/fakes";
import { createHosts, type Host } from "./createHosts";
import { createTap, type StepEvent } from "./createTap";
import type { Defect } from "./defects";
import { followAssignments } from "./followAssignments";

/** One entry of the simulated fleet. */
export interface SimEntry {
    readonly boot: string;
    readonly instance: string;
    readonly zone: string;
    readonly host: Host;
    readonly core: Core;
    /** Revisions of the configuration in the order in which this entry applied them. */
    readonly revisions: number[];
    isStopping: boolean;
}

export const zones = ["zone-a", "zone-b", "zone-c"] as const;
export const pools = ["stalls", "invoicing"] as const;
const workersPerZone = 4;
const workersPerRack = 2;
export const slotsPerWorker = 4;

/** Teams with the most tasks that each may have running. */
export const teamLimits: Readonly<Record<string, number>> = { stables: 6, blenders: 2 };

/** Availability budget of each pool. */
export const maxUnavailable = 2;

/** A platform, three zones with an entry and four workers each, two pools and two teams, on a paused clock. */
export async function createWorld(defect?: Defect) {
    const hosts = createHosts();
    const { clock } = hosts;
    const platform = createFakePlatform();
    const network = createFakeNetwork();
    const workers = createFakeWorkers();
    workers.takesAnyPool = defect?.takesAnyPool ?? false;
    const entries: SimEntry[] = [];
    const listeners = new Set<(event: StepEvent) => void>();
    const keys = Object.fromEntries(Object.keys(teamLimits).map((team) => [team, createSecret()])) as Record<
        string,
        Secret
    >;
    const cancellations = new Set<AbortController>();
    let nextBoot = 1;

    const instances = zones.flatMap((zone, z) =>
        Array.from({ length: workersPerZone }, (_, n) => ({
            name: `worker-${zone}-${n}`,
            url: `http://127.0.0.1:${1 + z * workersPerZone + n}`,
            region: "north",
            zone,
            rack: `rack-${z}-${Math.floor(n / workersPerRack)}`,
            slots: slotsPerWorker,
            capacity: { processors: 32, memoryMb: 128_000, accelerators: 0 },
            pool: pools[n % pools.length] ?? pools[0],
        }))
    );
    instances.forEach(({ name }) => {
        workers.add(name, slotsPerWorker);
        platform.instances.set(name, "live");
    });

    const assignments = followAssignments(platform);

    function emit(event: StepEvent): void {
        listeners.forEach((listener) => listener(event));
    }

    async function startEntry(zone: string, instance: string): Promise<SimEntry> {
        const boot = `boot-${nextBoot++}`;
        const host = hosts.create(boot);
        platform.instances.set(instance, "live");
        const self = { boot, instance, region: "north", zone, peerUrl: `ws://127.0.0.1:${nextBoot}` };
        const tap = createTap(boot, emit);
        const adapters = {
            platform: tap.platform(host.outside(platform.connect(boot))),
            workers: tap.workers(host.outside(workers.connect(boot))),
            peers: host.outsidePeers(network.connect(self)),
        };
        const broken = defect?.breakAdapters?.(adapters) ?? adapters;
        const settings = readSettings(
            { instance, region: "north", zone, "platform-url": "http://127.0.0.1:1" },
            {},
        ).map((read) => read.settings).unsafeCoerce();
        const revisions: number[] = [];
        const entry = await new Promise<SimEntry>((resolve) =>
            host.run(() => {
                const built = createCore({ settings, ...broken, report: () => {}, metrics: createMetrics() });
                const core = defect?.breakCore?.(built) ?? built;
                core.configuration.onChange(({ revision }) => revisions.push(revision));
                resolve({ boot, instance, zone, host, core, revisions, isStopping: false });
            })
        );
        entries.push(entry);
        entry.host.run(() => void entry.core.start());
        emit({ boot, kind: "entryStart", when: "after" });
        return entry;
    }

    async function change(by: string, changes: readonly Change[], reason = "test") {
        const entry = entries.find(({ host }) => host.state === "running");
        return await entry?.core.configuration.append({ by, reason, command: { kind: "change", changes } });
    }

    /** Lets time pass. */
    async function pass(ms: number): Promise<void> {
        await clock.tickAsync(ms);
    }

    for (const zone of zones) {
        await startEntry(zone, `entry-${zone}`);
    }
    await pass(1000);
    const setUp: Change[] = [
        ...pools.map((name) =>
            ({ kind: "setPool", pool: { name, maxUnavailable: defect?.budget ?? maxUnavailable } }) as const
        ),
        ...Object.entries(teamLimits).map(([name, tasks]) =>
            ({
                kind: "setTeam",
                team: {
                    name,
                    weight: 1,
                    limit: { tasks, processors: 1000, memoryMb: 1_000_000, accelerators: 0 },
                    pools,
                },
            }) as const
        ),
        ...Object.entries(keys).map(([team, { id, hash }]) =>
            ({
                kind: "grantKey",
                team,
                keyId: id,
                key: { hash, grantedAtMs: Date.now() },
            }) as const
        ),
        ...instances.map((instance) => ({ kind: "addInstance", instance }) as const),
    ];
    const done = change("set-up", setUp);
    await pass(3000);
    const accepted = await done;
    if (accepted === undefined || accepted.isLeft()) {
        throw new Error(`the set-up was not accepted: ${String(JSON.stringify(accepted?.extract()))}`);
    }

    return {
        hosts,
        clock,
        platform,
        network,
        workers,
        entries,
        instances,
        keys,
        startEntry,
        change,
        pass,
        onStep(listener: (event: StepEvent) => void) {
            listeners.add(listener);
        },
        emit,
        /** What cancels each task that was sent. */
        cancellations,
        cancelAll: () => cancellations.forEach((controller) => controller.abort()),
        /** The pool of each instance by the log at the platform. */
        assignments: () => assignments,
        /** A short name that is the same in every run, for seeds. */
        hash: (text: string) => createHash("sha256").update(text).digest().readUInt32BE(0),
        /** Cuts or heals every way between two sides: `boot` and `instance` names on each. */
        cut(left: readonly string[], right: readonly string[], isCut: boolean) {
            for (const [a, b] of left.flatMap((from) => right.flatMap((to) => [[from, to], [to, from]] as const))) {
                for (const set of [network.cuts, workers.cuts]) {
                    if (isCut) {
                        set.add(`${a}>${b}`);
                    }
                    else {
                        set.delete(`${a}>${b}`);
                    }
                }
            }
        },
    };
}

export type World = Awaited<ReturnType<typeof createWorld>>;
