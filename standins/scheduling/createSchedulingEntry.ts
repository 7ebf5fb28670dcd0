import { pause } from "../../src/clock";
import { createLeaderElection, leaderKey } from "../../src/duties";
import type { LogEvent } from "../../src/logging";
import type { MachineApi } from "../../src/machines";
import { createRelayedWorkerApi, type WorkerApi } from "../../src/runs";
import {
    createScheduler,
    createStandbyCopy,
    type Scheduler,
    type WorkerDecoder,
    type WorkerRegistration,
} from "../../src/scheduler";
import { createPrefixWatcher, type Store } from "../../src/store";
import { createCallGate } from "./createCallGate";
import type { SchedulingWorld, SchedulingWorldOptions } from "./createSchedulingWorld";

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

/** How long a machine is down for a move or an upkeep, in milliseconds. */
export const restartMs = 1500;

/** Longest value that the store takes, in bytes. */
export const maxValueBytes = 1024 * 1024;

/** Store keys under which workers register. */
export const workerPrefix = "workers/";

const decoder: WorkerDecoder = {
    prefix: workerPrefix,
    idOf: (key) => key.slice(workerPrefix.length),
    decode: (_key, text) => JSON.parse(text) as WorkerRegistration,
};

/** Creates an entry with a process of its own in the world. */
export function createSchedulingEntry(
    name: string,
    world: SchedulingWorld,
    machines: MachineApi,
    directApi: WorkerApi,
    copyOf: SchedulingWorldOptions["copyOf"] = (copy) => copy,
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
    const standbyCopy = createStandbyCopy({
        store: {
            ...store,
            async watch(...args) {
                const result = await store.watch(...args);
                await pause(world.copyLagMs);
                return result;
            },
        },
        clocks,
        workerPrefix,
        isDesignatedStandby: () => world.areStandbysDesignated && duty.tenure() === undefined,
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
                advice: { ask: (step, workerIds) => world.advise(workerIds, step) },
                decoder,
                tenure,
                copy: copyOf(standbyCopy.take(), tenure.token),
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
                    maxValueBytes,
                },
                policy: () => world.isPolicyKnown ? world.policy : undefined,
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
    standbyCopy.start();
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
            standbyCopy.stop();
            void duty.resign();
        },
        kill() {
            isKilled = true;
            gate.close();
            standbyCopy.stop();
            world.network.remove(name);
            duty.stop();
            follower.stop();
            scheduler?.stop();
        },
    };
}
