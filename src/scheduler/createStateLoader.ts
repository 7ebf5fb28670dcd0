import { type Clocks, pause } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import { decodeProgress, noProgress, progressPrefix } from "../progress";
import { catchUp, createPrefixWatcher, type PrefixSnapshot, type Store, type StoreItem } from "../store";
import { submissionPrefix } from "../submissions";
import type { StateCopy } from "./createStandbyCopy";
import type { StoredProgress } from "./createSubmissionTracker";

export interface StateLoaderOptions {
    readonly store: Store;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly workerPrefix: string;
    /** Copy that this entry kept before it became leader, if any. */
    readonly copy: StateCopy | undefined;
    /** Reads the machine orders of earlier leaders; false where the store doesn't answer. */
    loadOrders(): Promise<boolean>;
    restoreProgress(progress: ReadonlyMap<string, StoredProgress>): void;
    onSubmission(key: string, item: StoreItem | undefined): void;
    /** All submissions have been read. Called once, before any worker is reported. */
    onSubmissionsLoaded(): void;
    onWorker(key: string, item: StoreItem | undefined): void;
    /** Submissions or workers have changed. */
    onChange(): void;
}

/** Loads what earlier leaders wrote, then watches submissions and worker registrations. */
export interface StateLoader {
    /** Resolves with true once the progress and the machine orders are loaded; with false if the tenure ends first. */
    load(): Promise<boolean>;
    /** Delivers submissions, then workers, and all their changes from then on. */
    watch(): void;
    /** Whether all submissions have been read. */
    isLoaded(): boolean;
    /** Delivers a submission's record that was not received by the watch; ignored until all submissions have been read. */
    offerSubmission(item: StoreItem): void;
    /** Whether all worker registrations have been read. */
    areWorkersRead(): boolean;
    stop(): void;
}

/**
 * Pause that batches changes of submissions, in milliseconds. It saves a call for each change and delays it by at most
 * 25 ms.
 */
const submissionBatchMs = 25;

/**
 * Pause that batches changes of worker registrations, in milliseconds. Each worker writes about every second. A relevant
 * change, such as a new worker or a drain, may wait this long.
 */
const workerBatchMs = 100;

/** Long poll timeout of watches, in milliseconds. A silent connection is detected within this time. */
const watchTimeoutMs = 2000;

/** Pause before the state of earlier leaders is read again, in milliseconds. */
const loadRetryMs = 100;

/** The prefixes of a copy after the catch-up. */
type CaughtUp = Omit<StateCopy, "freshAtMs">;

/**
 * Loads the state of earlier leaders in a fixed order: progress, submissions, workers.
 *
 * - Progress comes before submissions, because a submission is added with the progress known at that time. One added
 *   without it would be started again.
 * - Submissions come before workers. If a worker listed an end of a submission that has not been read, the end would be
 *   treated as unknown and acknowledged. The task would then run a second time.
 *
 * Earlier leaders write progress and final states only on condition of their own revision of the leader key. The
 * tenure's token is the revision at which that key was overwritten, so all their writes have lower revisions. A copy is
 * used only if each of its prefixes contains all changes up to the token. That holds for submissions too: one that is
 * open in an old copy, and final since, has no progress record any more and would be started from its beginning.
 */
export function createStateLoader(opts: StateLoaderOptions): StateLoader {
    const { store, tenure, clocks } = opts;
    const startedAtMs = clocks.monotonicMs();
    const copyAgeMs = opts.copy === undefined ? undefined : clocks.suspendAwareMs() - opts.copy.freshAtMs;
    let caughtUp: CaughtUp | undefined;
    let isCopyTried = false;
    let progressItems = 0;
    let areSubmissionsRead = false;
    let areWorkersRead = false;
    let isStopped = false;
    let stopWatchers = (): void => undefined;
    let offer = (_item: StoreItem): void => undefined;

    function catchUpPrefix(prefix: string, snapshot: PrefixSnapshot): Promise<PrefixSnapshot | undefined> {
        return catchUp({ store, prefix, snapshot, minRevision: tenure.token });
    }

    async function catchUpCopy(copy: StateCopy): Promise<CaughtUp | undefined> {
        const [progress, submissions, workers] = await Promise.all([
            catchUpPrefix(progressPrefix, copy.progress),
            catchUpPrefix(submissionPrefix, copy.submissions),
            catchUpPrefix(opts.workerPrefix, copy.workers),
        ]);
        return progress === undefined || submissions === undefined || workers === undefined
            ? undefined
            : { progress, submissions, workers };
    }

    async function readProgress(): Promise<readonly StoreItem[] | undefined> {
        if (opts.copy !== undefined && !isCopyTried) {
            isCopyTried = true;
            caughtUp = await catchUpCopy(opts.copy);
        }
        if (caughtUp !== undefined) {
            return [...caughtUp.progress.items.values()];
        }
        const result = await store.range(progressPrefix);
        return result.kind === "items" ? result.items : undefined;
    }

    async function load(): Promise<boolean> {
        while (!isStopped && tenure.isValid()) {
            const [items, hasOrders] = await Promise.all([readProgress(), opts.loadOrders()]);
            if (items !== undefined && hasOrders) {
                progressItems = items.length;
                opts.restoreProgress(
                    new Map(items.map(({ key, text, revision }) => [
                        key,
                        { progress: decodeProgress(text) ?? noProgress, revision, bytes: Buffer.byteLength(text) },
                    ])),
                );
                return !isStopped;
            }
            await pause(loadRetryMs);
        }
        return false;
    }

    function reportLoaded(submissions: number, workers: number): void {
        opts.report({
            kind: "stateLoaded",
            token: tenure.token,
            source: caughtUp === undefined ? "store" : "copy",
            progress: progressItems,
            submissions,
            workers,
            copyAgeMs,
            tookMs: clocks.monotonicMs() - startedAtMs,
        });
    }

    function watch(): void {
        const workerWatcher = createPrefixWatcher({
            store,
            prefix: opts.workerPrefix,
            waitMs: watchTimeoutMs,
            pauseMs: workerBatchMs,
            nowMs: clocks.suspendAwareMs,
            onItem: opts.onWorker,
            onBatch() {
                if (!areWorkersRead) {
                    areWorkersRead = true;
                    reportLoaded(submissionWatcher.items.size, workerWatcher.items.size);
                }
                opts.onChange();
            },
            ...caughtUp === undefined ? {} : { initial: caughtUp.workers },
        });
        const submissionWatcher = createPrefixWatcher({
            store,
            prefix: submissionPrefix,
            waitMs: watchTimeoutMs,
            pauseMs: submissionBatchMs,
            nowMs: clocks.suspendAwareMs,
            onItem: opts.onSubmission,
            onBatch() {
                if (!areSubmissionsRead) {
                    areSubmissionsRead = true;
                    opts.onSubmissionsLoaded();
                    workerWatcher.start();
                }
                opts.onChange();
            },
            keepsText: false,
            ...caughtUp === undefined ? {} : { initial: caughtUp.submissions },
        });
        offer = submissionWatcher.offer;
        stopWatchers = () => {
            workerWatcher.stop();
            submissionWatcher.stop();
        };
        submissionWatcher.start();
    }

    return {
        load,
        watch,
        isLoaded: () => areSubmissionsRead,
        offerSubmission(item) {
            if (areSubmissionsRead) {
                offer(item);
            }
        },
        areWorkersRead: () => areWorkersRead,
        stop() {
            isStopped = true;
            stopWatchers();
        },
    };
}
