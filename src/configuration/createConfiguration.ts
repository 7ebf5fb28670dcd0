import { randomUUID } from "node:crypto";
import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { StoredValue } from "../platform";
import type { CommandRecord, FleetState } from "../state";
import type { AppendRequest, Configuration, ConfigurationOptions, InForce } from "./configuration";
import { createAppender } from "./createAppender";
import { createHistory, type Offer } from "./createHistory";
import { createRelay } from "./createRelay";
import { findInForce } from "./findInForce";
import { defaultLogBounds, logKey, type LogValue, parseLog } from "./logValue";
import { readSnapshot } from "./snapshot";

const defaults = { appendMs: 10_000, digestMs: 2000, isolatedAfterMs: 60_000 } as const;

/** How often entries that have not confirmed are asked again, in milliseconds. */
const askMs = 500;

/** How long to wait before a snapshot that could not be read is tried again, in milliseconds. */
const snapshotRetryMs = 1000;

/** Follows the log by the platform's watch and by what peers tell, and appends by compare-and-swap. */
export function createConfiguration(opts: ConfigurationOptions): Configuration {
    const { platform, watcher, peers, members } = opts;
    const report: Reporter = opts.report ?? (() => {});
    const bounds = opts.bounds ?? defaultLogBounds;
    const history = createHistory(bounds);
    const listeners = new Set<(state: FleetState) => void>();
    const heardListeners = new Set<() => void>();
    const reported = new Set<string>();
    const startedAtMs = Date.now();
    let toldRevision = -1;
    let newest: LogValue | undefined;
    let isFollowing = false;
    let isIsolated = false;
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;

    const appender = createAppender({
        platform,
        history,
        bounds,
        appendMs: opts.appendMs ?? defaults.appendMs,
        random: opts.random ?? Math.random,
        absorb,
        onWritten(stored) {
            watcher.rewind(logKey, stored.revision);
            const log = parseLog(stored.text);
            if (log !== undefined) {
                note("the platform", history.offerRecords(log));
            }
        },
    });

    const relay = peers === undefined ? undefined : createRelay({
        peers,
        history,
        digestMs: opts.digestMs ?? defaults.digestMs,
        onOffer: (from, offer) => note(from.instance, offer),
        onHeard: () => heardListeners.forEach((listener) => listener()),
    });

    watcher.subscribe(logKey, follow, (stored) => {
        report({ kind: "platformWentBack", key: logKey });
        follow(stored);
        appender.restore();
    });

    /** Reports what must not be, once for each case, and tells listeners of progress. */
    function note(source: string, offer: Offer): void {
        if (offer.kind === "diverged" || offer.kind === "refused") {
            const detail = offer.kind === "diverged" ? "contradicts what is in force here" : offer.detail;
            reportOnce(`revision ${offer.revision} from ${source}: ${detail}`);
        }
        const state = history.applied()?.state;
        if (state !== undefined && state.revision > toldRevision) {
            toldRevision = state.revision;
            listeners.forEach((listener) => listener(state));
            relay?.tell();
        }
    }

    function reportOnce(detail: string): void {
        if (!reported.has(detail)) {
            [...reported].slice(0, -maxReported).forEach((old) => reported.delete(old));
            reported.add(detail);
            report({ kind: "valueRefused", key: logKey, detail });
        }
    }

    /** Takes in a log; reads the snapshot that it names where this entry is behind its base. */
    async function absorb(log: LogValue): Promise<Offer> {
        let offer = history.offerRecords(log);
        if (offer.kind === "behind" && log.snapshot !== undefined) {
            const snapshot = await readSnapshot(platform, log.snapshot);
            const isNamed = snapshot?.state.revision === log.baseRevision && snapshot.hash === log.baseHash;
            if (snapshot !== undefined && isNamed) {
                const taken = history.offerSnapshot(snapshot);
                offer = taken.kind === "diverged" ? taken : history.offerRecords(log);
            }
        }
        note("the platform", offer);
        return offer;
    }

    function follow(stored: StoredValue): void {
        appender.learn(stored);
        const log = parseLog(stored.text);
        if (log === undefined) {
            reportOnce(`the log at the platform's revision ${stored.revision} is malformed or of another version`);
            return;
        }
        newest = log;
        void catchUp();
    }

    /** One at a time; a newer log goes before one whose snapshot cannot be read. */
    async function catchUp(): Promise<void> {
        if (isFollowing) {
            return;
        }
        isFollowing = true;
        while (newest !== undefined && !isStopped) {
            const log = newest;
            const offer = await absorb(log);
            if (offer.kind === "behind") {
                await pause(snapshotRetryMs);
            }
            else if (newest === log) {
                newest = undefined;
            }
        }
        isFollowing = false;
    }

    function lastHeardAtMs(): number {
        const fromPeers = [...relay?.heard().values() ?? []].map(({ atMs }) => atMs);
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
            self: peers?.self ?? unlinked,
            ownRevision: history.applied() === undefined ? -1 : history.revision(),
            recorded: members === undefined ? [] : members.recorded(),
            connected: peers?.connected() ?? [],
            heard: relay?.heard() ?? new Map(),
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
            // An entry that entered the record a moment ago counts too; the watch may not have told of it yet.
            await members?.refresh();
            for (let result = inForce(revision);; result = inForce(revision)) {
                const leftMs = endAtMs - Date.now();
                if (result.everywhere || leftMs <= 0) {
                    return result;
                }
                result.missing.forEach(({ boot }) => void relay?.ask(boot, askMs));
                await waitForNews(Math.min(leftMs, askMs));
            }
        },
        async refresh() {
            const read = await platform.read(logKey);
            const log = parseLog(read.orDefault(undefined)?.text ?? "");
            if (read.isLeft() || log === undefined) {
                return false;
            }
            const offer = await absorb(log);
            return offer.kind === "advanced" || offer.kind === "nothingNew";
        },
        isolation: () => ({ isIsolated, lastHeardAtMs: lastHeardAtMs() }),
        start() {
            relay?.start();
            timer = setInterval(checkIsolation, 1000);
        },
        stop() {
            isStopped = true;
            relay?.stop();
            clearInterval(timer);
        },
    };

    function waitForNews(ms: number): Promise<void> {
        return new Promise((resolve) => {
            const finish = () => {
                clearTimeout(timeout);
                heardListeners.delete(finish);
                resolve();
            };
            const timeout = setTimeout(finish, ms);
            heardListeners.add(finish);
        });
    }
}

/** Details of refused values that are remembered, so that each is reported once. */
const maxReported = 64;

const unlinked = { boot: "self", instance: "self", region: "", zone: "", peerUrl: "" };
