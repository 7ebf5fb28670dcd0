import { type Configuration, createConfiguration } from "../configuration";
import { createDispatch, type Dispatch } from "../dispatch";
import { createForwarding } from "../forwarding";
import { checkKey } from "../keys";
import { createLimits, type Limits } from "../limits";
import type { Reporter } from "../logging";
import { createMembers, type Members } from "../members";
import type { Metrics } from "../metrics";
import { createOnce, type Once } from "../once";
import type { Peers } from "../peers";
import { createWatcher, type Platform, type Watcher } from "../platform";
import type { Settings } from "../settings";
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
    readonly watcher: Watcher;
    readonly configuration: Configuration;
    readonly members: Members;
    readonly limits: Limits;
    readonly once: Once;
    readonly dispatch: Dispatch;
    readonly tasks: Tasks;
    start(): Promise<void>;
    /** Lets running tasks end, hands over what is held, and leaves the record of entries. */
    stop(): Promise<void>;
}

const watchMs = 20_000;
const platformRetryMs = 500;
const drainPollMs = 20;

/** Puts the parts that decide together. */
export function createCore(opts: CoreOptions): Core {
    const { settings, platform, peers, workers, report, metrics } = opts;
    const { boot, zone } = peers.self;
    const watcher = createWatcher({ platform, watchMs, retryMs: platformRetryMs });
    const configuration = createConfiguration({ platform, watcher });
    const members = createMembers({ platform, watcher, peers, retryMs: platformRetryMs, report });
    const limits = createLimits({
        configuration,
        platform,
        members,
        peers,
        metrics,
        leaseMs: settings.taskLeaseMs,
    });
    const dispatch = createDispatch({
        boot,
        zone,
        configuration,
        limits,
        workers,
        report,
        leaseMs: settings.taskLeaseMs,
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
        async start() {
            await peers.start();
            watcher.start();
            members.start();
            limits.start();
            once.start();
            dispatch.start();
        },
        async stop() {
            while (tasks.runningCount() > 0) {
                await new Promise((resolve) => setTimeout(resolve, drainPollMs));
            }
            await dispatch.stop();
            await once.stop();
            await limits.stop();
            await members.stop();
            watcher.stop();
            await peers.stop();
        },
    };
}
