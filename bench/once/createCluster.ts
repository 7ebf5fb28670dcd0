import { type Core, createCore } from "../../src/entry";
import type { LogEvent } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import type { IdempotencyGuard } from "../../src/once";
import type { Peer } from "../../src/peers";
import { readSettings } from "../../src/settings";
import type { TaskEnd, TaskRequest } from "../../src/tasks";
import type { Workers } from "../../src/workers";
import {
    createFakeNetwork,
    createFakePlatform,
    createFakeWorkers,
    type FakeNetwork,
    type FakePlatform,
    type FakeWorkers,
} from "../../standins/fakes";
import { createGate, type Gate, gatePeers, gatePlatform, gateWorkers } from "./createGate";

/** A fault put into the entries on purpose, so that a judge can be seen to catch it. */
export interface Defect {
    readonly wrapOnce?: (once: IdempotencyGuard) => IdempotencyGuard;
    readonly wrapWorkers?: (workers: Workers) => Workers;
}

export interface ClusterEntry {
    readonly peer: Peer;
    readonly gate: Gate;
    readonly core: Core;
}

/** Entries with their real decision code over fakes of the platform, the workers and the links. */
export interface Cluster {
    readonly platform: FakePlatform;
    readonly network: FakeNetwork;
    readonly workers: FakeWorkers;
    readonly entries: ClusterEntry[];
    /** Request by attempt, from the log lines of placements. */
    readonly requestOfAttempt: Map<string, string>;
    /** Starts another entry; gives its place. */
    addEntry(): Promise<number>;
    kill(at: number): void;
    freeze(at: number): void;
    wake(at: number): void;
    /** Sends a request to an entry; the answer of a killed entry never comes. */
    send(at: number, request: TaskRequest, signal?: AbortSignal): Promise<TaskEnd>;
}

export interface ClusterOptions {
    readonly entries: number;
    readonly workers: number;
    readonly defect?: Defect;
}

export const clusterTeam = "stables";
export const clusterPool = "stalls";

/** Reports that have no part in claims come rarely, so that a schedule costs less to run. */
const rareReports = { "usage-ms": "4000", "share-report-ms": "2000" };

const capacity = { processors: 32, memoryMb: 128_000, accelerators: 0 };

/** The clock has to run while this waits. */
export async function createCluster(opts: ClusterOptions): Promise<Cluster> {
    const platform = createFakePlatform();
    const network = createFakeNetwork();
    const workers = createFakeWorkers();
    const requestOfAttempt = new Map<string, string>();
    const entries: ClusterEntry[] = [];

    function report(event: LogEvent): void {
        if (event.kind === "placed") {
            requestOfAttempt.set(event.attempt, event.requestId);
        }
    }

    async function addEntry(): Promise<number> {
        const at = entries.length;
        const boot = `boot-${at}`;
        const instance = `entry-${at}`;
        const peer = { boot, instance, region: "north", zone: "zone-a", peerUrl: `ws://${boot}` };
        platform.instances.set(instance, "live");
        const gate = createGate();
        const flags = {
            instance,
            region: "north",
            zone: "zone-a",
            "platform-url": "http://platform",
            ...rareReports,
        };
        const settings = readSettings(flags, {}).orDefaultLazy(() => {
            throw new Error("the settings of the test do not hold");
        }).settings;
        const ownWorkers = gateWorkers(workers.connect(boot), gate);
        const core = createCore({
            settings,
            platform: gatePlatform(platform.connect(boot), gate),
            peers: gatePeers(network.connect(peer), gate),
            workers: opts.defect?.wrapWorkers?.(ownWorkers) ?? ownWorkers,
            report,
            metrics: createMetrics(),
            ...opts.defect?.wrapOnce === undefined ? {} : { wrapOnce: opts.defect.wrapOnce },
        });
        entries.push({ peer, gate, core });
        await core.start();
        return at;
    }

    for (let at = 0; at < opts.entries; at++) {
        await addEntry();
    }
    const names = Array.from({ length: opts.workers }, (_, at) => `worker-${at + 1}`);
    names.forEach((name) => workers.add(name));
    await configure(entries[0]!.core, names);
    await Promise.all(entries.map(({ core }) => waitForState(core)));

    return {
        platform,
        network,
        workers,
        entries,
        requestOfAttempt,
        addEntry,
        kill(at) {
            const { gate, peer } = entries[at]!;
            gate.kill();
            network.remove(peer.boot);
            platform.cutOff.add(peer.boot);
            names.forEach((name) => workers.cuts.add(`${peer.boot}>${name}`));
        },
        freeze(at) {
            const { gate, peer } = entries[at]!;
            gate.freeze();
            network.frozen.add(peer.boot);
        },
        wake(at) {
            const { gate, peer } = entries[at]!;
            gate.wake();
            network.wake(peer.boot);
        },
        async send(at, request, signal = new AbortController().signal) {
            const { gate, core } = entries[at]!;
            await gate.pass();
            const end = await core.tasks.run(request, signal);
            await gate.pass();
            return end;
        },
    };
}

async function configure(core: Core, workers: readonly string[]): Promise<void> {
    const limit = { tasks: 200, processors: 400, memoryMb: 4_000_000, accelerators: 0 };
    const changes = [
        { kind: "setPool", pool: { name: clusterPool, maxUnavailable: 1 } },
        { kind: "setTeam", team: { name: clusterTeam, weight: 1, limit, pools: [clusterPool] } },
        ...workers.map((name) => ({
            kind: "addInstance",
            instance: {
                name,
                url: `http://${name}`,
                region: "north",
                zone: "zone-a",
                rack: "rack-1",
                slots: 8,
                capacity,
                pool: clusterPool,
            },
        } as const)),
    ] as const;
    const appended = await core.configuration.append({
        by: "test",
        reason: "set up",
        command: { kind: "change", changes },
    });
    if (appended.isLeft()) {
        throw new Error(`the configuration was not taken: ${JSON.stringify(appended.extract())}`);
    }
}

async function waitForState(core: Core): Promise<void> {
    while (core.configuration.state()?.teams[clusterTeam] === undefined) {
        await new Promise((resolve) => setTimeout(resolve, 1));
    }
}

/** A non-repeatable task of the cluster's team. */
export function createRequest(id: string, idempotencyKey: string, runMs: number, deadlineMs: number): TaskRequest {
    return {
        id,
        team: clusterTeam,
        pool: clusterPool,
        size: { processors: 1, memoryMb: 100, accelerators: 0 },
        expectedRunMs: runMs,
        deadlineAtMs: Date.now() + deadlineMs,
        urgent: false,
        repeatable: false,
        idempotencyKey,
        payload: `run ${runMs} for ${idempotencyKey}`,
    };
}
