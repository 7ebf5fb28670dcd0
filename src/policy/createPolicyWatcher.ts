import { type Clocks, pause } from "../clock";
import type { Reporter } from "../logging";
import { createPrefixWatcher, type Store, watchOverdueMs } from "../store";
import { chooseWatchWaitMs } from "./chooseWatchWaitMs";
import type { Policy, Wave } from "./policy";

/** Decodes what operators write to the store; `undefined` where a value can't be decoded. */
export interface PolicyDecoder {
    /** Prefix of all keys that operators write. */
    readonly prefix: string;
    decodePolicy(key: string, text: string): Policy | undefined;
    decodeWave(key: string, text: string): Wave | undefined;
    /** The availability zone that a key asks to evacuate. Only the key counts: its value may be unreadable. */
    decodeEvacuation(key: string): string | undefined;
}

export interface PolicyWatcherOptions {
    readonly store: Store;
    readonly decoder: PolicyDecoder;
    readonly clocks: Clocks;
    readonly report: Reporter;
    /**
     * A configuration has to be in force this long after it was confirmed, in milliseconds; `undefined` for no bound.
     */
    readonly configApplyMs: number | undefined;
    /** Called after each answer of the store has been applied. */
    onChange?(): void;
}

export interface PolicyWatcher {
    /** The newest version seen, `undefined` before the first. It never goes back to an older version. */
    policy(): Policy | undefined;
    /** Maintenance waves, by number. */
    waves(): readonly Wave[];
    /** Availability zones under evacuation: their workers get no new tasks. */
    evacuatedZones(): ReadonlySet<string>;
    /**
     * Age of the view, in milliseconds: every version accepted longer ago than this is applied here. `undefined` before
     * the first answer.
     */
    ageMs(): number | undefined;
    /**
     * Asks the store for changes, unless the view is at most `maxAgeMs` old. Resolves at the answer, or after
     * `confirmTimeoutMs` without one.
     */
    confirm(maxAgeMs: number): Promise<void>;
    /** Greatest age that the view has reached since the first answer, in milliseconds. */
    longestAgeMs(): number;
    /** The store answers neither directly nor through other entries. */
    isStoreLost(): boolean;
    start(): void;
    stop(): void;
}

/** How long a confirmation of the view may take, in milliseconds: a slow store answers a repeated watch within it. */
const confirmTimeoutMs = watchOverdueMs + 300;

/** Watches the operators' configuration, maintenance waves and evacuations in the platform's store. */
export function createPolicyWatcher(opts: PolicyWatcherOptions): PolicyWatcher {
    let policy: Policy | undefined;
    const waves = new Map<string, Wave>();
    const evacuatedZones = new Set<string>();
    let isStoreLost = false;

    function ageMs(): number | undefined {
        const freshAtMs = watcher.freshAtMs();
        return freshAtMs === undefined ? undefined : opts.clocks.suspendAwareMs() - freshAtMs;
    }

    function beginEvacuation(zone: string): void {
        if (!evacuatedZones.has(zone)) {
            evacuatedZones.add(zone);
            opts.report({ kind: "evacuation", zone, change: "begun" });
        }
    }

    function endEvacuation(zone: string): void {
        if (evacuatedZones.delete(zone)) {
            opts.report({ kind: "evacuation", zone, change: "ended" });
        }
    }

    function removeItem(key: string): void {
        waves.delete(key);
        const zone = opts.decoder.decodeEvacuation(key);
        if (zone !== undefined) {
            endEvacuation(zone);
        }
    }

    function applyItem(key: string, text: string): void {
        const zone = opts.decoder.decodeEvacuation(key);
        if (zone !== undefined) {
            beginEvacuation(zone);
            return;
        }
        const wave = opts.decoder.decodeWave(key, text);
        if (wave !== undefined) {
            waves.set(key, wave);
            return;
        }
        const decoded = opts.decoder.decodePolicy(key, text);
        if (decoded === undefined) {
            opts.report({
                kind: "valueRefused",
                key,
                detail: "the value is not a valid configuration, maintenance wave or evacuation",
            });
        }
        // An answer relayed by another entry can be older than one that came directly.
        else if (policy === undefined || decoded.version > policy.version) {
            policy = decoded;
            const ageBeforeMs = ageMs();
            opts.report({
                kind: "configurationApplied",
                revision: decoded.version,
                ...ageBeforeMs === undefined ? {} : { ageBeforeMs: Math.round(ageBeforeMs) },
            });
        }
    }

    const watcher = createPrefixWatcher({
        store: opts.store,
        prefix: opts.decoder.prefix,
        waitMs: chooseWatchWaitMs(opts.configApplyMs),
        pauseMs: 0,
        nowMs: opts.clocks.suspendAwareMs,
        onItem(key, item) {
            if (item === undefined) {
                removeItem(key);
            }
            else {
                applyItem(key, item.text);
            }
        },
        onBatch: () => opts.onChange?.(),
        onStoreLost(detail) {
            isStoreLost = true;
            opts.report({ kind: "dependency", name: "store", state: "lost", detail });
        },
        onStoreRecovered() {
            isStoreLost = false;
            opts.report({ kind: "dependency", name: "store", state: "regained", detail: "" });
        },
    });

    return {
        policy: () => policy,
        waves: () => [...waves.values()].sort((a, b) => a.wave - b.wave),
        evacuatedZones: () => evacuatedZones,
        ageMs,
        async confirm(maxAgeMs) {
            if ((ageMs() ?? Number.POSITIVE_INFINITY) > maxAgeMs) {
                await Promise.race([watcher.refresh(), pause(confirmTimeoutMs)]);
            }
        },
        longestAgeMs: () => watcher.longestAgeMs(),
        isStoreLost: () => isStoreLost,
        start: () => watcher.start(),
        stop: () => watcher.stop(),
    };
}
