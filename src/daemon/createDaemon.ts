import { ServiceBroker } from "moleculer";
import { randomUUID } from "node:crypto";
import {
    createAdviceClient,
    createClientApiHandler,
    createHttpService,
    createJsonCaller,
    createMachineApi,
    createWorkerApi,
    encodeWaveStatus,
    type NodeSettings,
    policyDecoder,
    workerDecoder,
} from "../../platform";
import {
    type AccountTokens,
    createAdmission,
    createLoadBroadcaster,
    decodeLoadSummary,
    listAccountLoads,
    loadSummaryTopic,
} from "../admission";
import { createClocks, pause } from "../clock";
import { callOverdueMs } from "../connections";
import {
    type Candidate,
    computeStrength,
    createFailover,
    createLagMonitor,
    createLeaderElection,
    createLoadMeter,
    createPresence,
    type Tenure,
} from "../duties";
import { createListeners } from "../listeners";
import type { Reporter } from "../logging";
import { createHedgedMachineApi } from "../machines";
import { createEventMetrics } from "../metrics";
import { chooseLinks, createPeers, type Peer } from "../peers";
import { createPolicyWatcher, isFreshEnoughToStart } from "../policy";
import { createRelayedWorkerApi } from "../runs";
import { createScheduler, createStandbyCopy, type Scheduler } from "../scheduler";
import {
    createCancelBudget,
    createLoadCheck,
    createRecordWriter,
    createSubmissionApi,
    submissionIdOf,
} from "../submissions";
import { createAcceptanceNotifier } from "./createAcceptanceNotifier";
import { createLeaderQueries } from "./createLeaderQueries";
import { createStoreAccess } from "./createStoreAccess";
import { createUnsettledNotifier } from "./createUnsettledNotifier";

export interface Daemon {
    start(): Promise<void>;
    /** Gives up leadership, answers open requests, and ends within the grace period. */
    stop(): Promise<void>;
}

export interface DaemonOptions {
    readonly settings: NodeSettings;
    /** Receives every log event. */
    readonly report: Reporter;
    /** Number of log lines dropped since the start. */
    readonly droppedLines: () => number;
}

/** Connections to the machine API: the list of machines takes one, and orders share the others. */
const machineConnections = 5;

/** Connections to each worker. A long poll occupies one; start and stop requests share the others. */
const workerConnections = 5;

/**
 * Response timeout of a worker, in milliseconds. A worker answers within 10 ms, so a call that takes this long was
 * lost; a longer timeout would only delay a task whose start request was lost. The timeout must exceed the 120 ms by
 * which the timers of a slow entry may be late.
 */
const workerAnswerTimeoutMs = 250;

/** Heartbeat interval on links between entries, in milliseconds. */
const peerHeartbeatMs = 500;

/** Time without a message after which a peer counts as silent, in milliseconds. */
const peerSilenceMs = 1500;

/** Larger request bodies are refused, in bytes. The limit that operators configure is lower. */
const maxBodyBytes = 1024 * 1024;

/**
 * Time from SIGTERM until the load balancer sends no more clients, in milliseconds. It stops after two failed readiness
 * probes, and it probes once per second.
 */
const leaveRotationMs = 2500;

/** Remainder of the grace period when the process ends, in milliseconds. */
const exitMarginMs = 500;

/** Creates a daemon on the users' platform. Its parts are wired together only here. */
export function createDaemon({ settings, report: log, droppedLines }: DaemonOptions): Daemon {
    const metrics = createEventMetrics({
        policyAgeMs: () => policyWatcher.ageMs(),
        longestPolicyAgeMs: () => policyWatcher.longestAgeMs(),
        evacuatedZones: () => policyWatcher.evacuatedZones().size,
        dutyToken: () => leaderElection.tenure()?.token,
        droppedLines,
        openRequests: () => openRequests,
        heldBytes: () => listeners.heldBytes(),
        connections: () => listeners.connections(),
        startsInFlight: () => scheduler?.startsInFlight() ?? new Map(),
        loadSummaryAgeMs: () => admission.summaryAgeMs(clocks.monotonicMs()),
        longestLeaderSilenceMs: () => failover.longestSilenceMs(),
    });
    const report: Reporter = (event) => {
        metrics.record(event);
        log(event);
    };
    const clocks = createClocks();
    const listeners = createListeners(settings.intakeLimits, report);
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
        listeners,
        limits: settings.connectionLimits,
    });
    const storeAccess = createStoreAccess({
        address: settings.storeAddress,
        peers,
        nowMs: clocks.suspendAwareMs,
        report,
        onLost: () => writer.abandonAll("the store does not answer this entry"),
    });
    const { store, health: storeHealth } = storeAccess;
    const callWorker = createJsonCaller(workerConnections);
    const callMachines = createJsonCaller(machineConnections);
    const callMachinesUnpooled = createJsonCaller(machineConnections, { opensEach: true });
    const machineApi = createHedgedMachineApi({
        pooled: createMachineApi(callMachines, settings.machinesAddress),
        unpooled: createMachineApi(callMachinesUnpooled, settings.machinesAddress),
        nowMs: clocks.monotonicMs,
        onSilentConnection(overdueMs, laterCallMs) {
            callMachines.renew(callOverdueMs);
            report({ kind: "connectionsRenewed", target: "machines", overdueMs, laterCallMs });
        },
    });
    const adviceClient = createAdviceClient(callWorker, settings.adviceAddress);
    const lagMonitor = createLagMonitor();
    const loadMeter = createLoadMeter((isBusy) =>
        report({ kind: "note", slice: "load", message: isBusy ? "this entry is busy" : "this entry is no longer busy" })
    );
    const workerApi = createRelayedWorkerApi({
        direct: createWorkerApi(callWorker, workerAnswerTimeoutMs),
        peers,
        isBusy: loadMeter.isBusy,
        nowMs: clocks.monotonicMs,
    });
    let scheduler: Scheduler | undefined;
    const policyWatcher = createPolicyWatcher({
        store,
        decoder: policyDecoder,
        clocks,
        report,
        configApplyMs: settings.configApplyMs,
        onChange: () => scheduler?.policyChanged(),
    });
    const leaderElection = createLeaderElection({
        store,
        clocks,
        holder: { boot, instance: settings.instance },
        report,
        minTtlMs: settings.minLeaseTtlMs,
        fitness: () => storeAccess.isRelayOnly() ? "turnedAway" : lagMonitor.isSlow() ? "slow" : "fit",
        isHeard: () => failover.isHeard(),
        isLinked: (other) => peers.connected().some((peer) => peer.boot === other),
        onGained: beginTenure,
        onLost() {
            failover.endTenure();
            scheduler?.stop();
            scheduler = undefined;
        },
    });
    const candidate: Candidate = { ...self, strength: computeStrength(settings.cores, settings.linkMbps) };
    const failover = createFailover({ self: candidate, peers, clocks, election: leaderElection, report });
    const presence = createPresence({
        store,
        clocks,
        self: candidate,
        report,
        election: leaderElection,
        failover,
        onPeers(others) {
            const links = chooseLinks({
                self: boot,
                others,
                leader: presence.leaderBoot(),
                standbys: failover.standbys(),
            });
            peers.setAddresses(links.map(({ peerUrl }) => peerUrl));
        },
    });

    const standbyCopy = createStandbyCopy({
        store,
        clocks,
        workerPrefix: workerDecoder.prefix,
        // The leader key may be read later than the answer to its own write.
        isDesignatedStandby: () => failover.isDesignatedStandby() && leaderElection.tenure() === undefined,
    });

    function beginTenure(tenure: Tenure): void {
        failover.beginTenure(tenure);
        scheduler = createScheduler({
            store,
            workerApi,
            machines: machineApi,
            advice: adviceClient,
            decoder: workerDecoder,
            tenure,
            copy: standbyCopy.take(),
            holder: settings.instance,
            clocks,
            report,
            bounds: {
                maxLeaseMs: settings.maxRunLeaseMs,
                keepFinishedMs: settings.keepFinishedMs,
                minMachineHandoverMs: settings.minMachineHandoverMs,
                maintenanceMs: settings.maintenanceMs,
                moveMs: settings.moveMs,
                maxStopMs: settings.maxStopMs,
                machineOrdersPerSecond: settings.machineOrdersPerSecond,
                maxValueBytes: settings.maxStoreValueBytes,
            },
            policy: policyWatcher.policy,
            waves: policyWatcher.waves,
            evacuatedZones: policyWatcher.evacuatedZones,
            isPolicyFresh: () => isFreshEnoughToStart(policyWatcher.ageMs(), settings.evacuateMs),
            async reportWave(wave, isComplete) {
                const put = encodeWaveStatus(wave, isComplete);
                const result = await store.commit({ conditions: [tenure.condition], puts: [put], deletes: [] });
                return result.kind === "committed";
            },
            onFenced: () => leaderElection.onFenced(),
        });
        void scheduler.start();
    }

    const notifier = createAcceptanceNotifier({
        peers,
        leaderBoot: presence.leaderBoot,
        scheduler: () => scheduler,
    });
    const admission = createAdmission(Math.random);
    peers.onMessage(loadSummaryTopic, (_from, body) => {
        const summary = decodeLoadSummary(body);
        if (summary !== undefined) {
            admission.receive(summary, clocks.monotonicMs());
        }
    });
    const accountTokens: AccountTokens = { tokens: (account, nowMs) => scheduler?.rates.tokens(account, nowMs) };
    const loadBroadcaster = createLoadBroadcaster({
        measure: () => scheduler?.measureLoad(),
        accounts: () => listAccountLoads(policyWatcher.policy()?.tenants ?? [], accountTokens, Date.now()),
        broadcast(summary) {
            peers.broadcast(loadSummaryTopic, summary);
            admission.receive(summary, clocks.monotonicMs());
        },
        report,
        nowMs: clocks.monotonicMs,
    });
    const loadCheck = createLoadCheck({
        admission,
        store,
        isStoreSlow: storeHealth.isSlow,
        report,
        nowMs: clocks.monotonicMs,
    });
    const unsettledNotifier = createUnsettledNotifier({
        peers,
        leaderBoot: presence.leaderBoot,
        isLeader: () => scheduler !== undefined,
        onUnsettled: (ids) => ids.forEach(loadCheck.recordElsewhere),
    });
    const writer = createRecordWriter(
        store,
        clocks.monotonicMs,
        storeHealth.isLost,
        (writes) => unsettledNotifier.notify(writes.map(({ key }) => submissionIdOf(key))),
    );
    const submissionApi = createSubmissionApi({
        policySource: {
            ...policyWatcher,
            // After an outage the watch of the configuration may report a loss that is already over.
            isStoreLost: () => storeHealth.isLost() || (policyWatcher.isStoreLost() && !storeHealth.isAnswering()),
        },
        store,
        writer,
        leader: createLeaderQueries({ peers, leaderBoot: presence.leaderBoot, scheduler: () => scheduler }),
        cancelBudget: createCancelBudget({
            storeWritesPerSecond: settings.storeWritesPerSecond,
            entryCount: presence.entryCount,
            nowMs: clocks.monotonicMs,
        }),
        loadCheck,
        report,
        steadyMs: clocks.monotonicMs,
        revokeMs: settings.revokeMs,
        configApplyMs: settings.configApplyMs,
        onStored: notifier.onStored,
    });
    const broker = new ServiceBroker({
        logger: false,
        metrics: false,
        tracing: false,
        skipProcessEventRegistration: true,
    });
    let isStopping = false;
    let openRequests = 0;

    /**
     * Near `revokeMs` the entry refuses requests with a key. It reports not ready at half of this age, so that the load
     * balancer sends its clients to other entries before that. It also reports not ready while it can't store.
     */
    function isReady(): boolean {
        const ageMs = policyWatcher.ageMs();
        return !isStopping && policyWatcher.policy() !== undefined && ageMs !== undefined
            && ageMs < settings.revokeMs / 2 && !storeHealth.isLost();
    }

    function createServices(): void {
        broker.createService(createHttpService({
            name: "clients",
            listen: settings.clientAddress,
            listeners,
            maxConnections: settings.connectionLimits.maxConnections,
            maxBodyBytes,
            handle: createClientApiHandler(submissionApi),
            isClosing: () => isStopping,
            onRequestStart: () => openRequests++,
            onRequestEnd: () => openRequests--,
        }));
        broker.createService(createHttpService({
            name: "readiness",
            listen: settings.readinessAddress,
            listeners,
            maxConnections: settings.connectionLimits.maxProbeConnections,
            maxBodyBytes,
            handle: () => isReady() ? { status: 200, text: "ready\n" } : { status: 503, text: "not ready\n" },
        }));
        broker.createService(createHttpService({
            name: "metrics",
            listen: settings.metricsAddress,
            listeners,
            maxConnections: settings.connectionLimits.maxProbeConnections,
            maxBodyBytes,
            handle: async () => ({ status: 200, text: await metrics.text() }),
        }));
    }

    async function waitForOpenRequests(): Promise<void> {
        const deadlineMs = clocks.monotonicMs() + settings.graceMs - exitMarginMs - leaveRotationMs;
        while (openRequests > 0 && clocks.monotonicMs() < deadlineMs) {
            await pause(50);
        }
    }

    return {
        async start() {
            createServices();
            await Promise.all([broker.start(), peers.start()]);
            policyWatcher.start();
            presence.start();
            standbyCopy.start();
            lagMonitor.start();
            loadMeter.start();
            leaderElection.start();
            loadBroadcaster.start();
            report({ kind: "started", boot, zone: settings.zone, region: settings.region });
        },
        async stop() {
            report({ kind: "stopping", runningTasks: openRequests });
            isStopping = true;
            standbyCopy.stop();
            await leaderElection.resign();
            await pause(leaveRotationMs);
            await waitForOpenRequests();
            leaderElection.stop();
            loadBroadcaster.stop();
            failover.stop();
            policyWatcher.stop();
            // Bounded, so that the process ends before the grace period does.
            await Promise.race([presence.stop(), pause(exitMarginMs / 2)]);
            report({ kind: "stopped" });
        },
    };
}
