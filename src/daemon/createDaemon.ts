import { ServiceBroker } from "moleculer";
import { randomUUID } from "node:crypto";
import {
    createAdvice,
    createClientSurface,
    createHttpService,
    createJsonCaller,
    createMachines,
    createStore,
    createTaskWorkers,
    encodeWaveStatus,
    type NodeSettings,
    policyDecoder,
    workerDecoder,
} from "../../platform";
import { createClocks, pause } from "../clock";
import {
    computeStrength,
    createLagMonitor,
    createLeaderElection,
    createLoadMeter,
    createPresence,
    type Tenure,
} from "../duties";
import type { Reporter } from "../logging";
import { createEventMetrics } from "../metrics";
import { chooseLinks, createPeers, type Peer } from "../peers";
import { createPolicyWatcher, isFreshEnoughToStart } from "../policy";
import { createRelayedWorkerApi } from "../runs";
import { createScheduler, type Scheduler } from "../scheduler";
import { createRelayedStore } from "../store";
import { createRecordWriter, createSubmissionApi } from "../submissions";
import { createOwnerView } from "./createOwnerView";

export interface Daemon {
    start(): Promise<void>;
    /** Hands over, answers what is under way, and ends within the grace time. */
    stop(): Promise<void>;
}

export interface DaemonOptions {
    readonly settings: NodeSettings;
    /** Takes every event for the log. */
    readonly report: Reporter;
    /** Log lines left out since the start. */
    readonly droppedLines: () => number;
}

/** Connections to the store: waiting watches, writes in groups, renewals and reads of clients' requests. */
const storeConnections = 16;

/** Connections to each worker; a waiting look takes one, orders share the others. */
const workerConnections = 5;

/**
 * How long a worker may take to answer, in milliseconds. It answers within 10 ms; what takes this long was lost, and a
 * task whose start was lost waits for nothing. Longer than the 120 ms by which a slow entry's timers may be late.
 */
const workerAnswerTimeoutMs = 250;

/** Links between entries are used this often, and a peer counts as silent after this, in milliseconds. */
const peerHeartbeatMs = 500;
const peerSilenceMs = 1500;

/** Bodies above this are refused; the operators' limit is below it. */
const maxBodyBytes = 1024 * 1024;

/** After SIGTERM the balancer needs two missed questions, one a second, to stop sending clients, in milliseconds. */
const leaveRotationMs = 2500;

/** Left of the grace time when the process ends, in milliseconds. */
const exitMarginMs = 500;

/** The one module that wires the parts of a daemon on the users' platform. */
export function createDaemon({ settings, report: log, droppedLines }: DaemonOptions): Daemon {
    const metrics = createEventMetrics({
        policyAgeMs: () => policyFeed.ageMs(),
        evacuatedZones: () => policyFeed.evacuatedZones().size,
        dutyToken: () => duty.tenure()?.token,
        droppedLines,
        openRequests: () => openRequests,
    });
    const report: Reporter = (event) => {
        metrics.count(event);
        log(event);
    };
    const clocks = createClocks();
    const boot = randomUUID();
    const self: Peer = {
        boot,
        instance: settings.instance,
        region: settings.region,
        zone: settings.zone,
        peerUrl: `ws://${settings.host}:${settings.peerPort}`,
    };
    const peers = createPeers({
        self,
        host: settings.host,
        port: settings.peerPort,
        heartbeatMs: peerHeartbeatMs,
        silenceMs: peerSilenceMs,
        report,
    });
    const callStore = createJsonCaller(storeConnections);
    const callWorker = createJsonCaller(workerConnections);
    const store = createRelayedStore({
        direct: createStore(callStore, settings.storeAddress),
        peers,
        nowMs: clocks.suspendAwareMs,
        onPathChange: (path, detail) => report({ kind: "note", slice: "store", message: `calls go ${path}`, detail }),
    });
    const machines = createMachines(callWorker, settings.machinesAddress);
    const advice = createAdvice(callWorker, settings.adviceAddress);
    const lagGuard = createLagMonitor();
    const loadMeter = createLoadMeter((isBusy) =>
        report({ kind: "note", slice: "load", message: isBusy ? "this entry is busy" : "this entry is busy no more" })
    );
    const workerApi = createRelayedWorkerApi({
        direct: createTaskWorkers(callWorker, workerAnswerTimeoutMs),
        peers,
        isBusy: loadMeter.isBusy,
        nowMs: clocks.steadyMs,
    });
    let scheduler: Scheduler | undefined;
    const policyFeed = createPolicyWatcher({
        store,
        decoder: policyDecoder,
        clocks,
        report,
        onChange: () => scheduler?.policyChanged(),
    });
    const duty = createLeaderElection({
        store,
        clocks,
        holder: { boot, instance: settings.instance },
        report,
        minTtlMs: settings.minLeaseTtlMs,
        fitness: () => store.isRelayOnly() ? "turnedAway" : lagGuard.isSlow() ? "slow" : "fit",
        onGained: beginTenure,
        onLost() {
            scheduler?.stop();
            scheduler = undefined;
        },
    });
    const presence = createPresence({
        store,
        clocks,
        self: { ...self, strength: computeStrength(settings.cores, settings.linkMbps) },
        election: duty,
        onPeers(others) {
            const links = chooseLinks({ self: boot, others, leader: presence.leaderBoot() });
            peers.setAddresses(links.map(({ peerUrl }) => peerUrl));
        },
    });

    function beginTenure(tenure: Tenure): void {
        scheduler = createScheduler({
            store,
            workerApi,
            machines,
            advice,
            decoder: workerDecoder,
            tenure,
            holder: settings.instance,
            clocks,
            report,
            bounds: {
                maxLeaseMs: settings.maxRunLeaseMs,
                keepFinishedMs: settings.keepFinishedMs,
                minMachineHandoverMs: settings.machineTurnMs,
                maintenanceMs: settings.maintenanceMs,
                moveMs: settings.moveMs,
                maxStopMs: settings.maxStopMs,
                machineOrdersPerSecond: settings.machineOrdersPerSecond,
            },
            policy: policyFeed.policy,
            waves: policyFeed.waves,
            evacuatedZones: policyFeed.evacuatedZones,
            isPolicyFresh: () => isFreshEnoughToStart(policyFeed.ageMs(), settings.evacuateMs),
            async reportWave(wave, isComplete) {
                const put = encodeWaveStatus(wave, isComplete);
                const result = await store.commit({ conditions: [tenure.condition], puts: [put], deletes: [] });
                return result.kind === "committed";
            },
            onFenced: () => duty.onFenced(),
        });
        void scheduler.start();
    }

    const door = createSubmissionApi({
        policySource: policyFeed,
        store,
        writer: createRecordWriter(store, clocks.steadyMs),
        leader: createOwnerView({ peers, ownerBoot: presence.leaderBoot, scheduler: () => scheduler }),
        report,
        steadyMs: clocks.steadyMs,
        revokeMs: settings.revokeMs,
    });
    const broker = new ServiceBroker({
        logger: false,
        metrics: false,
        tracing: false,
        skipProcessEventRegistration: true,
    });
    let isStopping = false;
    let openRequests = 0;

    function isReady(): boolean {
        const ageMs = policyFeed.ageMs();
        return !isStopping && policyFeed.policy() !== undefined && ageMs !== undefined && ageMs < settings.revokeMs / 2;
    }

    function createServices(): void {
        broker.createService(createHttpService({
            name: "clients",
            listen: settings.clientAddress,
            maxBodyBytes,
            handle: createClientSurface(door),
            isClosing: () => isStopping,
            onOpen: () => openRequests++,
            onDone: () => openRequests--,
        }));
        broker.createService(createHttpService({
            name: "readiness",
            listen: settings.readyAddress,
            maxBodyBytes,
            handle: () => isReady() ? { status: 200, text: "ready\n" } : { status: 503, text: "not ready\n" },
        }));
        broker.createService(createHttpService({
            name: "metrics",
            listen: settings.metricsAddress,
            maxBodyBytes,
            handle: async () => ({ status: 200, text: await metrics.text() }),
        }));
    }

    async function answerRest(): Promise<void> {
        const endMs = clocks.steadyMs() + settings.graceMs - exitMarginMs - leaveRotationMs;
        while (openRequests > 0 && clocks.steadyMs() < endMs) {
            await pause(50);
        }
    }

    return {
        async start() {
            createServices();
            await Promise.all([broker.start(), peers.start()]);
            policyFeed.start();
            presence.start();
            lagGuard.start();
            loadMeter.start();
            duty.start();
            report({ kind: "started", boot, zone: settings.zone, region: settings.region });
        },
        async stop() {
            report({ kind: "stopping", runningTasks: openRequests });
            isStopping = true;
            await duty.resign();
            await pause(leaveRotationMs);
            await answerRest();
            duty.stop();
            policyFeed.stop();
            await Promise.race([presence.stop(), pause(exitMarginMs / 2)]);
            report({ kind: "stopped" });
        },
    };
}
