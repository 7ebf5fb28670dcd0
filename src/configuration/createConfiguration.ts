import { randomUUID } from "node:crypto";
import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { StoredValue } from "../platform";
import type { CommandRecord, FleetState } from "../state";
import type { AppendRequest, Configuration, ConfigurationOptions, InForce } from "./configuration";
import { createAppender } from "./createAppender";
import { createHistory, type MergeResult } from "./createHistory";
import { createPeerSync } from "./createPeerSync";
import { findInForce } from "./findInForce";
import { defaultLogBounds, logKey, type LogValue, parseLog } from "./logValue";
import { readSnapshot } from "./snapshot";

const defaults = { appendTimeoutMs: 10_000, digestIntervalMs: 2000, isolatedAfterMs: 60_000 } as const;

/** Interval of queries to entries that have not confirmed a revision, and the timeout of a query, in milliseconds. */
const queryIntervalMs = 500;

/** Delay before the next attempt to read a snapshot, in milliseconds. */
const snapshotRetryMs = 1000;

/** Replicates the log by the platform's watch and by synchronization with peers, and appends by compare-and-swap. */
export function createConfiguration(opts: ConfigurationOptions): Configuration {
    const { platform, watcher, peers, members } = opts;
    const report: Reporter = opts.report ?? (() => {});
    const bounds = opts.bounds ?? defaultLogBounds;
    const history = createHistory(bounds);
    const listeners = new Set<(state: FleetState) => void>();
    const reportListeners = new Set<() => void>();
    const reported = new Set<string>();
    const startedAtMs = Date.now();
    let notifiedRevision = -1;
    let newestLog: LogValue | undefined;
    let isCatchingUp = false;
    let isIsolated = false;
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;

    const appender = createAppender({
        platform,
        history,
        bounds,
        appendTimeoutMs: opts.appendTimeoutMs ?? defaults.appendTimeoutMs,
        random: opts.random ?? Math.random,
        mergeLog: mergeStoredLog,
        onWritten(stored) {
            watcher.rewind(logKey, stored.revision);
            const log = parseLog(stored.text);
            if (log !== undefined) {
                handleMergeResult("the platform", history.mergeRecords(log));
            }
        },
    });

    const peerSync = peers === undefined ? undefined : createPeerSync({
        peers,
        history,
        digestIntervalMs: opts.digestIntervalMs ?? defaults.digestIntervalMs,
        onMerge: (from, mergeResult) => handleMergeResult(from.instance, mergeResult),
        onReport: () => reportListeners.forEach((listener) => listener()),
    });

    watcher.subscribe(logKey, handleStoredLog, (stored) => {
        report({ kind: "platformWentBack", key: logKey });
        handleStoredLog(stored);
        appender.restore();
    });

    /** Reports each refused value once. Notifies listeners and peers if the revision has increased. */
    function handleMergeResult(source: string, mergeResult: MergeResult): void {
        if (mergeResult.kind === "diverged" || mergeResult.kind === "refused") {
            const detail = mergeResult.kind === "diverged"
                ? "contradicts the history of this entry"
                : mergeResult.detail;
            reportOnce(`revision ${mergeResult.revision} from ${source}: ${detail}`);
        }
        const state = history.applied()?.state;
        if (state !== undefined && state.revision > notifiedRevision) {
            notifiedRevision = state.revision;
            listeners.forEach((listener) => listener(state));
            peerSync?.announce();
        }
    }

    function reportOnce(detail: string): void {
        if (!reported.has(detail)) {
            [...reported].slice(0, -maxReported).forEach((old) => reported.delete(old));
            reported.add(detail);
            report({ kind: "valueRefused", key: logKey, detail });
        }
    }

    /** Merges a log into the history; first reads the log's snapshot if this entry is behind its base. */
    async function mergeStoredLog(log: LogValue): Promise<MergeResult> {
        let mergeResult = history.mergeRecords(log);
        if (mergeResult.kind === "behind" && log.snapshot !== undefined) {
            const snapshot = await readSnapshot(platform, log.snapshot);
            const isNamed = snapshot?.state.revision === log.baseRevision && snapshot.hash === log.baseHash;
            if (snapshot !== undefined && isNamed) {
                const merged = history.mergeSnapshot(snapshot);
                mergeResult = merged.kind === "diverged" ? merged : history.mergeRecords(log);
            }
        }
        handleMergeResult("the platform", mergeResult);
        return mergeResult;
    }

    function handleStoredLog(stored: StoredValue): void {
        appender.observe(stored);
        const log = parseLog(stored.text);
        if (log === undefined) {
            reportOnce(`the log at the platform's revision ${stored.revision} is malformed or of another version`);
            return;
        }
        newestLog = log;
        void catchUp();
    }

    /** Merges the newest log, one at a time. A newer log replaces one whose snapshot cannot be read. */
    async function catchUp(): Promise<void> {
        if (isCatchingUp) {
            return;
        }
        isCatchingUp = true;
        while (newestLog !== undefined && !isStopped) {
            const log = newestLog;
            const mergeResult = await mergeStoredLog(log);
            if (mergeResult.kind === "behind") {
                await pause(snapshotRetryMs);
            }
            else if (newestLog === log) {
                newestLog = undefined;
            }
        }
        isCatchingUp = false;
    }

    function lastHeardAtMs(): number {
        const fromPeers = [...peerSync?.lastReports().values() ?? []].map(({ atMs }) => atMs);
        return Math.max(startedAtMs, watcher.lastAnswerAtMs() ?? 0, ...fromPeers);
    }

    function checkIsolation(): void {
        const silentMs = Date.now() - lastHeardAtMs();
        const isNow = silentMs > (opts.isolatedAfterMs ?? defaults.isolatedAfterMs);
        if (isNow !== isIsolated) {
            isIsolated = isNow;
            report({ kind: isNow ? "isolated" : "rejoined", silentMs });
        }
    }

    function inForce(revision: number): InForce {
        return findInForce({
            revision,
            self: peers?.self ?? selfWithoutPeers,
            ownRevision: history.applied() === undefined ? -1 : history.revision(),
            recorded: members === undefined ? [] : members.recorded(),
            connected: peers?.connected() ?? [],
            lastReports: peerSync?.lastReports() ?? new Map(),
        });
    }

    return {
        state: () => history.applied()?.state,
        append(request: AppendRequest) {
            const record: CommandRecord = { id: randomUUID(), atMs: Date.now(), ...request };
            return appender.append(record);
        },
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        inForce,
        async awaitInForce(revision, waitMs) {
            const endAtMs = Date.now() + waitMs;
            // An entry that has just joined the record counts too, and the watch may not have reported it yet.
            await members?.refresh();
            for (let result = inForce(revision);; result = inForce(revision)) {
                const leftMs = endAtMs - Date.now();
                if (result.everywhere || leftMs <= 0) {
                    return result;
                }
                result.missing.forEach(({ boot }) => void peerSync?.query(boot, queryIntervalMs));
                await waitForReport(Math.min(leftMs, queryIntervalMs));
            }
        },
        async refresh() {
            const read = await platform.read(logKey);
            const log = parseLog(read.orDefault(undefined)?.text ?? "");
            if (read.isLeft() || log === undefined) {
                return false;
            }
            const mergeResult = await mergeStoredLog(log);
            return mergeResult.kind === "advanced" || mergeResult.kind === "nothingNew";
        },
        isolation: () => ({ isIsolated, lastHeardAtMs: lastHeardAtMs() }),
        start() {
            peerSync?.start();
            timer = setInterval(checkIsolation, 1000);
        },
        stop() {
            isStopped = true;
            peerSync?.stop();
            clearInterval(timer);
        },
    };

    function waitForReport(ms: number): Promise<void> {
        return new Promise((resolve) => {
            const finish = () => {
                clearTimeout(timeout);
                reportListeners.delete(finish);
                resolve();
            };
            const timeout = setTimeout(finish, ms);
            reportListeners.add(finish);
        });
    }
}

/** Limit of stored details of refused values, so that each is reported once. */
const maxReported = 64;

/** Stands for this entry where there are no peers. */
const selfWithoutPeers = { boot: "self", instance: "self", region: "", zone: "", peerUrl: "" };
