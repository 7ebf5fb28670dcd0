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
import { createOnce, type Once } from "../once";
import type { Peers } from "../peers";
import { createKeyWatcher, type KeyWatcher, type Platform } from "../platform";
import { createPoolIndex } from "../pools";
import type { Settings } from "../settings";
import { createShares } from "../shares";
import { createTasks, type Tasks } from "../tasks";
import type { Workers } from "../workers";

/** What the core needs from outside; tests put stand-ins in their place. */
export interface CoreOptions {
    readonly settings: Settings;
    readonly platform: Platform;
    readonly peers: Peers;
    readonly workers: Workers;
    readonly report: Reporter;
    readonly metrics: Metrics;
    /** For tests alone: puts a fault into the guard against second runs. */
    readonly wrapOnce?: (once: Once) => Once;
}

/** Everything of a daemon but its HTTP interfaces and its adapters. */
export interface Core {
    readonly watcher: KeyWatcher;
    readonly configuration: Configuration;
    readonly members: Members;
    readonly limits: Limits;
    readonly once: Once;
    readonly dispatch: Dispatch;
    readonly tasks: Tasks;
    readonly executor: Executor;
    start(): Promise<void>;
    /** Lets running tasks end, hands over what is held, and leaves the record of entries. */
    stop(): Promise<void>;
}

const watchMs = 20_000;
const platformRetryMs = 500;
const drainPollMs = 20;
/** Connections to each worker that are kept for renewals, usage and notices. */
const shortCallConnections = 1;

/** How long a start waits for the record of entries before it goes on without, in milliseconds. */
const enterWaitMs = 5000;

/** Puts the parts that decide together. */
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
        tasksPerWorker: Math.max(
            1,
            Math.floor(settings.workerConnections / settings.maxEntries) - shortCallConnections,
        ),
        usageMs: settings.usageMs,
        onOrphans: (instance, count) => metrics.orphanedTasks.set({ instance }, count),
        onEjected: (instance, pool) => metrics.workerEjections.inc({ instance, pool }),
        isLeaving: (instance) => members.instances()?.get(instance) === "leaving",
    });
    const once = (opts.wrapOnce ?? ((made) => made))(createOnce({ boot, platform, peers, members }));
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
            // An entry that served before it is in the record would not be asked whether it has a revision in force;
            // one that served what it read before it entered could lack a revision that is called in force everywhere.
            // While the platform is down nothing is accepted, and the entry serves what its peers hold.
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
