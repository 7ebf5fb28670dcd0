import { pause } from "../clock";
import { type Configuration, createConfiguration } from "../configuration";
import { createDispatch, type Dispatch } from "../dispatch";
import { createExecutor, type Executor } from "../executor";
import { createForwarding } from "../forwarding";
import { checkKey } from "../keys";
import { createLimits, type Limits } from "../limits";
import type { Reporter } from "../logging";
import { createMembers, type Members } from "../members";
import type { Metrics } from "../metrics";
import { createIdempotencyGuard, type IdempotencyGuard } from "../once";
import type { Peers } from "../peers";
import { createKeyWatcher, type KeyWatcher, type Platform } from "../platform";
import { createPoolIndex } from "../pools";
import type { Settings } from "../settings";
import { createShares } from "../shares";
import { createTasks, type Tasks } from "../tasks";
import type { Workers } from "../workers";

/** Dependencies of the core. Tests replace the adapters with stand-ins. */
export interface CoreOptions {
    readonly settings: Settings;
    readonly platform: Platform;
    readonly peers: Peers;
    readonly workers: Workers;
    readonly report: Reporter;
    readonly metrics: Metrics;
    /** Only for tests: injects a fault into the protection against running a task twice. */
    readonly wrapOnce?: (once: IdempotencyGuard) => IdempotencyGuard;
}

/** All parts of a daemon except its HTTP interfaces and its adapters. */
export interface Core {
    readonly watcher: KeyWatcher;
    readonly configuration: Configuration;
    readonly members: Members;
    readonly limits: Limits;
    readonly once: IdempotencyGuard;
    readonly dispatch: Dispatch;
    readonly tasks: Tasks;
    readonly executor: Executor;
    start(): Promise<void>;
    /** Waits until running tasks have ended, hands over what this entry holds, and leaves the record of entries. */
    stop(): Promise<void>;
}

/** Wait of one long-polling watch on the platform, in milliseconds. */
const watchMs = 20_000;
const platformRetryMs = 500;
const drainPollMs = 20;
/** Connections to each worker that are reserved for lease renewals, reads of usage and notices. */
const shortCallConnections = 1;

/** How long a start waits for this entry to be recorded before it continues without, in milliseconds. */
const enterWaitMs = 5000;

/** Creates the parts that make decisions and connects them. */
export function createCore(opts: CoreOptions): Core {
    const { settings, platform, peers, workers, report, metrics } = opts;
    const { boot, region, zone } = peers.self;
    const watcher = createKeyWatcher({ platform, watchMs, retryMs: platformRetryMs });
    const members = createMembers({
        platform,
        watcher,
        peers,
        retryMs: platformRetryMs,
        report,
        seedUrls: settings.seedPeers,
    });
    const configuration = createConfiguration({
        platform,
        watcher,
        peers,
        members,
        report,
        isolatedAfterMs: settings.isolatedAfterMs,
    });
    const limits = createLimits({
        configuration,
        platform,
        members,
        peers,
        metrics,
        report,
        leaseMs: settings.taskLeaseMs,
    });
    const pools = createPoolIndex({ region, zone, configuration });
    const shares = createShares({ configuration, peers, pools, reportMs: settings.shareReportMs });
    const dispatch = createDispatch({
        boot,
        configuration,
        limits,
        workers,
        peers,
        pools,
        shares,
        report,
        leaseMs: settings.taskLeaseMs,
        bounds: { tasksPerTeam: settings.queuedPerTeam, tasks: settings.queuedTasks },
        maxTasksPerWorker: Math.max(
            1,
            Math.floor(settings.workerConnections / settings.maxEntries) - shortCallConnections,
        ),
        usageIntervalMs: settings.usageMs,
        onOrphans: (instance, count) => metrics.orphanedTasks.set({ instance }, count),
        onEjected: (instance, pool) => metrics.workerEjections.inc({ instance, pool }),
        isLeaving: (instance) => members.instances()?.get(instance) === "leaving",
    });
    const once = (opts.wrapOnce ?? ((made) => made))(createIdempotencyGuard({ boot, platform, peers, members }));
    const forwarding = createForwarding({
        dispatch,
        limits,
        peers,
        report,
        onForwarded: (result) => metrics.forwardedTasks.inc({ result }),
    });
    const tasks = createTasks({
        dispatch: forwarding,
        once,
        checkKey: (request) => checkKey(configuration.state(), request),
    });
    const executor = createExecutor({ configuration, peers, platform, workers, report });

    configuration.onChange(({ revision }) => {
        metrics.configurationRevision.set(revision);
        report({ kind: "configurationApplied", revision });
    });

    return {
        watcher,
        configuration,
        members,
        limits,
        once,
        dispatch,
        tasks,
        executor,
        async start() {
            await peers.start();
            watcher.start();
            members.start();
            configuration.start();
            // Only recorded entries are asked whether a revision is in force there, so an entry is recorded before it
            // serves. Then it reads the configuration again: what it read earlier could lack a revision that is
            // reported as in force everywhere. While the platform is down no change is accepted, and the entry serves
            // the configuration that its peers hold.
            await members.waitUntilRecorded(enterWaitMs);
            await configuration.refresh();
            limits.start();
            once.start();
            shares.start();
            dispatch.start();
            executor.start();
        },
        async stop() {
            await executor.stop();
            while (tasks.runningCount() > 0) {
                await pause(drainPollMs);
            }
            await dispatch.stop();
            shares.stop();
            await once.stop();
            await limits.stop();
            configuration.stop();
            await members.stop();
            watcher.stop();
            await peers.stop();
        },
    };
}
