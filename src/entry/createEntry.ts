import { ServiceBroker } from "moleculer";
import { randomUUID } from "node:crypto";
import { createCallers } from "../callers";
import { createConfiguration } from "../configuration";
import { createDispatch } from "../dispatch";
import { createGateway } from "../http";
import { createLimits } from "../limits";
import { createReporter } from "../logging";
import { createMembers } from "../members";
import { createMetrics } from "../metrics";
import { createOnce } from "../once";
import { createOperators } from "../operators";
import { createPeers } from "../peers";
import { createHttpPlatform, createWatcher } from "../platform";
import type { Settings } from "../settings";
import { createTasks } from "../tasks";
import { createHttpWorkers } from "../workers";

export interface Entry {
    readonly boot: string;
    start(): Promise<void>;
    /** Takes no new request, lets running tasks end, hands over what is held, and closes. */
    stop(): Promise<void>;
}

const watchMs = 20_000;
const platformRetryMs = 500;
const workerTimeoutMs = 2000;
const connectionsPerWorker = 7;
const drainPollMs = 20;

/** Puts the parts of the daemon together. */
export function createEntry(settings: Settings): Entry {
    const boot = randomUUID();
    const { instance, region, zone, host } = settings;
    const report = createReporter({ level: settings.logLevel, fields: { instance, boot, region, zone } });
    const metrics = createMetrics();
    const platform = createHttpPlatform({ url: settings.platformUrl, timeoutMs: settings.platformTimeoutMs });
    const watcher = createWatcher({ platform, watchMs, retryMs: platformRetryMs });
    const configuration = createConfiguration({ platform, watcher });
    const peers = createPeers({
        self: { boot, instance, region, zone, peerUrl: `ws://${host}:${settings.peerPort}` },
        host,
        port: settings.peerPort,
        heartbeatMs: settings.heartbeatMs,
        silenceMs: settings.silenceMs,
    });
    const members = createMembers({ platform, watcher, peers, retryMs: platformRetryMs });
    const workers = createHttpWorkers({ timeoutMs: workerTimeoutMs, connectionsPerWorker });
    const limits = createLimits({ configuration });
    const leaseMs = settings.taskLeaseMs;
    const dispatch = createDispatch({ boot, zone, configuration, limits, workers, report, leaseMs });
    const once = createOnce({ boot });
    const tasks = createTasks({ dispatch, once });
    let isStopping = false;

    const broker = new ServiceBroker({ nodeID: boot, logger: false, metrics: false, tracing: false });
    broker.createService(createCallers({ boot, configuration, tasks, isStopping: () => isStopping }));
    broker.createService(createOperators({ configuration, peers, operatorHash: settings.operatorHash }));
    broker.createService(createGateway({
        host,
        port: settings.port,
        maxBodyBytes: settings.maxBodyBytes,
        metricsText: () => metrics.registry.metrics(),
        isReady: () => !isStopping && configuration.state() !== undefined,
        aliases: {
            "POST /v1/tasks": "callers.submit",
            "POST /operator/plans": "operators.plan",
            "POST /operator/plans/:id/confirm": "operators.confirm",
            "POST /operator/keys": "operators.grantKey",
            "DELETE /operator/keys/:id": "operators.withdrawKey",
            "GET /operator/state": "operators.state",
            "GET /operator/entries": "operators.entries",
        },
    }));
    configuration.onChange(({ revision }) => {
        metrics.configurationRevision.set(revision);
        report({ kind: "configurationApplied", revision });
    });

    return {
        boot,
        async start() {
            await peers.start();
            watcher.start();
            members.start();
            limits.start();
            once.start();
            dispatch.start();
            await broker.start();
            report({ kind: "started", boot, zone, region });
        },
        async stop() {
            isStopping = true;
            report({ kind: "stopping", runningTasks: tasks.runningCount() });
            while (tasks.runningCount() > 0) {
                await new Promise((resolve) => setTimeout(resolve, drainPollMs));
            }
            await broker.stop();
            await dispatch.stop();
            await once.stop();
            await limits.stop();
            await members.stop();
            watcher.stop();
            await peers.stop();
            await workers.close();
            await platform.close();
            report({ kind: "stopped" });
        },
    };
}
