import { ServiceBroker } from "moleculer";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { createJsonCaller, createStore } from "../../platform";
import { createCallers } from "../callers";
import { createClocks } from "../clock";
import { createGateway } from "../http";
import { createListeners } from "../listeners";
import { createReporter, type Reporter } from "../logging";
import { createMetrics } from "../metrics";
import { createOperators, operatorAliases } from "../operators";
import { createPeers, type PeerCertificates } from "../peers";
import { countCalls, createRegistration, createStorePlatform } from "../platform";
import type { Settings } from "../settings";
import { createHttpWorkers } from "../workers";
import { createCore } from "./createCore";

export interface Entry {
    /** Random id of this process. */
    readonly boot: string;
    start(): Promise<void>;
    /** Refuses new requests, waits until running tasks have ended, hands over what this entry holds, and closes. */
    stop(): Promise<void>;
}

const workerTimeoutMs = 2000;

/** Connections to the platform's store: one for the long-polling watch, the others for concurrent reads and writes. */
const storeConnections = 16;

/** Largest value that the platform's store accepts, in bytes. */
const maxValueBytes = 1024 * 1024;

/** Creates the daemon: the core with its adapters and HTTP interfaces. */
export function createEntry(settings: Settings): Entry {
    const boot = randomUUID();
    const { instance, region, zone, host, operatorHash } = settings;
    const log = createReporter({ level: settings.logLevel, fields: { instance, boot, region, zone } });
    const metrics = createMetrics();
    const report: Reporter = (event) => {
        if (event.kind === "clientLimit") {
            metrics.clientLimits.inc({ listener: event.listener, limit: event.limit }, event.count);
        }
        log(event);
    };
    const listeners = createListeners(settings, report);
    const callStore = createJsonCaller(storeConnections, { renewsAfterTimeout: true });
    const store = createStore(callStore, new URL(settings.platformUrl).host, settings.platformTimeoutMs);
    const platform = countCalls(
        createStorePlatform({ store, maxValueBytes, close: callStore.close }),
        (call, result) => metrics.platformCalls.inc({ call, result }),
    );
    const workers = createHttpWorkers({
        timeoutMs: workerTimeoutMs,
        connectionsPerWorker: Math.max(2, Math.floor(settings.workerConnections / settings.maxEntries)),
    });
    const certificates = readPeerCertificates(settings);
    const scheme = certificates === undefined ? "ws" : "wss";
    const peers = createPeers({
        ...certificates === undefined ? {} : { certificates },
        report,
        self: { boot, instance, region, zone, peerUrl: `${scheme}://${host}:${settings.peerPort}` },
        host,
        port: settings.peerPort,
        heartbeatMs: settings.heartbeatMs,
        silenceMs: settings.silenceMs,
        listeners,
        limits: settings,
    });
    const core = createCore({ settings, platform, peers, workers, report, metrics });
    const { configuration, tasks } = core;
    let isStopping = false;
    const registration = createRegistration({
        store,
        instance,
        boot,
        clocks: createClocks(),
        onLeaseExpired() {
            report({ kind: "removedFromRecord", boot });
            void entry.stop();
        },
    });

    const broker = new ServiceBroker({ nodeID: boot, logger: false, metrics: false, tracing: false });
    broker.createService(createCallers({
        boot,
        configuration,
        tasks,
        once: core.once,
        peers,
        members: core.members,
        report,
        metrics,
        isStopping: () => isStopping,
    }));
    broker.createService(createOperators({ configuration, peers, limits: core.limits, operatorHash }));
    broker.createService(createGateway({
        host,
        port: settings.port,
        listeners,
        maxConnections: settings.maxConnections,
        maxBodyBytes: settings.maxBodyBytes,
        ...settings.httpCertFile === undefined || settings.httpKeyFile === undefined
            ? {}
            : { certificates: readPair(settings.httpCertFile, settings.httpKeyFile) },
        metricsText: () => {
            const traffic = peers.traffic?.();
            metrics.peerSentBytes.set(traffic?.sentBytes ?? 0);
            metrics.peerReceivedBytes.set(traffic?.receivedBytes ?? 0);
            metrics.isolated.set(configuration.isolation().isIsolated ? 1 : 0);
            metrics.connectedPeers.set(peers.connected().length);
            const { waiting, lingering } = core.dispatch.counts();
            metrics.waitingTasks.set(waiting);
            metrics.lingeringTasks.set(lingering);
            metrics.runningTasks.set(tasks.runningCount());
            metrics.heldBytes.set(listeners.heldBytes());
            listeners.connections().forEach((count, listener) => metrics.connections.set({ listener }, count));
            return metrics.registry.metrics();
        },
        isReady: () => !isStopping && configuration.state() !== undefined,
        aliases: {
            "POST /v1/tasks": "callers.submit",
            "GET /v1/tasks/:id": "callers.show",
            "DELETE /v1/tasks/:id": "callers.cancel",
            "POST /v1/tickets": "callers.issueTicket",
            ...operatorAliases,
        },
    }));

    const entry: Entry = {
        boot,
        async start() {
            registration.start();
            await core.start();
            await broker.start();
            report({ kind: "started", boot, zone, region });
        },
        async stop() {
            isStopping = true;
            report({ kind: "stopping", runningTasks: tasks.runningCount() });
            await core.stop();
            await broker.stop();
            await workers.close();
            listeners.stop();
            await registration.stop();
            await platform.close();
            report({ kind: "stopped" });
        },
    };
    return entry;
}

function readPair(certFile: string, keyFile: string): { cert: string; key: string; } {
    return { cert: readFileSync(certFile, "utf8"), key: readFileSync(keyFile, "utf8") };
}

function readPeerCertificates({ peerCertFile, peerKeyFile, peerCaFile }: Settings): PeerCertificates | undefined {
    return peerCertFile === undefined || peerKeyFile === undefined || peerCaFile === undefined
        ? undefined
        : { ...readPair(peerCertFile, peerKeyFile), ca: readFileSync(peerCaFile, "utf8") };
}
