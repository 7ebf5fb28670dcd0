import type { Clocks } from "../clock";
import { progressPrefix } from "../progress";
import { createPrefixWatcher, type PrefixSnapshot, type PrefixWatcher, type Store } from "../store";
import { submissionPrefix } from "../submissions";

/** What a new leader needs to read of the store, copied at some revision of each prefix. */
export interface StateCopy {
    readonly progress: PrefixSnapshot;
    readonly submissions: PrefixSnapshot;
    readonly workers: PrefixSnapshot;
    /** Each prefix contains all changes made before this time, in milliseconds of the clock that counts suspensions. */
    readonly freshAtMs: number;
}

export interface StandbyCopyOptions {
    readonly store: Store;
    readonly clocks: Clocks;
    readonly workerPrefix: string;
    /** Whether this entry is the one that is expected to lead next. */
    isDesignatedStandby(): boolean;
}

/** Copy of the leader's state in the store, kept by the entry that is expected to lead next. */
export interface StandbyCopy {
    start(): void;
    /** Ends the copying and returns the copy; `undefined` unless all prefixes have been read. */
    take(): StateCopy | undefined;
    stop(): void;
}

/** Long poll timeout of the watches, in milliseconds; as short as the leader's, it bounds the age of an idle copy. */
const watchTimeoutMs = 2000;

/** Pause after an answer with changes, in milliseconds. Each call is billed, and the copy may lag a little. */
const copyBatchMs = 250;

/** Interval at which the designation is checked, in milliseconds. */
const checkIntervalMs = 250;

/**
 * How long the copy is kept after this entry stopped being designated, in milliseconds. The list of entries changes
 * in the same moment in which the leader is lost, so a designation may lapse right before the takeover.
 */
const dropAfterMs = 1000;

/** Keeps the copy while this entry is the designated standby, and no copy otherwise. */
export function createStandbyCopy(opts: StandbyCopyOptions): StandbyCopy {
    const { clocks } = opts;
    let watchers: Readonly<Record<"progress" | "submissions" | "workers", PrefixWatcher>> | undefined;
    let designatedAtMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;

    function watch(prefix: string): PrefixWatcher {
        const watcher = createPrefixWatcher({
            store: opts.store,
            prefix,
            waitMs: watchTimeoutMs,
            pauseMs: copyBatchMs,
            nowMs: clocks.suspendAwareMs,
            onItem() {},
        });
        watcher.start();
        return watcher;
    }

    function drop(): void {
        Object.values(watchers ?? {}).forEach((watcher) => watcher.stop());
        watchers = undefined;
    }

    function check(): void {
        const nowMs = clocks.monotonicMs();
        if (opts.isDesignatedStandby()) {
            designatedAtMs = nowMs;
            watchers ??= {
                progress: watch(progressPrefix),
                submissions: watch(submissionPrefix),
                workers: watch(opts.workerPrefix),
            };
        }
        else if (nowMs - designatedAtMs > dropAfterMs) {
            drop();
        }
    }

    return {
        start() {
            timer = setInterval(check, checkIntervalMs);
        },
        take() {
            const taken = watchers;
            drop();
            const progress = taken?.progress.snapshot();
            const submissions = taken?.submissions.snapshot();
            const workers = taken?.workers.snapshot();
            if (taken === undefined || progress === undefined || submissions === undefined || workers === undefined) {
                return undefined;
            }
            const freshAtMs = Math.min(...Object.values(taken).map((watcher) => watcher.freshAtMs() ?? 0));
            return { progress, submissions, workers, freshAtMs };
        },
        stop() {
            clearInterval(timer);
            drop();
        },
    };
}
