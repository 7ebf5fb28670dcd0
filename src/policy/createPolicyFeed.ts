import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import { createFollower, type Store } from "../store";
import type { Policy, Wave } from "./policy";

/** Turns what operators wrote into the product's types; `undefined` where it can't be read. */
export interface PolicyDecoder {
    readonly prefix: string;
    decodePolicy(key: string, text: string): Policy | undefined;
    decodeWave(key: string, text: string): Wave | undefined;
    /** The availability zone that a key asks to evacuate; the key alone tells, whatever its value. */
    decodeEvacuation(key: string): string | undefined;
}

export interface PolicyFeedOptions {
    readonly store: Store;
    readonly decoder: PolicyDecoder;
    readonly clocks: Clocks;
    readonly report: Reporter;
    onChange?(): void;
}

export interface PolicyFeed {
    /** The newest version seen; never an older one than before. */
    policy(): Policy | undefined;
    waves(): readonly Wave[];
    /** Availability zones whose workers are to be sent nothing new. */
    evacuatedZones(): ReadonlySet<string>;
    /** Every version accepted longer ago than this is in force here; `undefined` before the first answer. */
    ageMs(): number | undefined;
    /** The store has stopped answering, also through other entries. */
    isStoreLost(): boolean;
    start(): void;
    stop(): void;
}

/**
 * How long one watch waits, in milliseconds. The age of the configuration is counted from when the last answered watch
 * was sent, so this bounds it; a withdrawn key has to stop within 5,000 ms even where nothing can be heard, and an
 * entry that is cut off stops taking keyed requests soon after. 0.7 calls a second for each entry.
 */
const watchWaitMs = 1500;

/** Follows the operators' configuration, maintenance waves and evacuations. */
export function createPolicyFeed(opts: PolicyFeedOptions): PolicyFeed {
    let policy: Policy | undefined;
    const waves = new Map<string, Wave>();
    const evacuatedZones = new Set<string>();
    let isStoreLost = false;

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

    function remove(key: string): void {
        waves.delete(key);
        const zone = opts.decoder.decodeEvacuation(key);
        if (zone !== undefined) {
            endEvacuation(zone);
        }
    }

    function take(key: string, text: string): void {
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
        const next = opts.decoder.decodePolicy(key, text);
        if (next === undefined) {
            opts.report({ kind: "valueRefused", key, detail: "it is no configuration, wave or evacuation" });
        }
        // A relayed answer can be older than one that came directly.
        else if (policy === undefined || next.version > policy.version) {
            policy = next;
            opts.report({ kind: "configurationApplied", revision: next.version });
        }
    }

    const follower = createFollower({
        store: opts.store,
        prefix: opts.decoder.prefix,
        waitMs: watchWaitMs,
        pauseMs: 0,
        nowMs: opts.clocks.suspendAwareMs,
        onItem(key, item) {
            if (item === undefined) {
                remove(key);
            }
            else {
                take(key, item.text);
            }
        },
        onBatch: () => opts.onChange?.(),
        onLost(detail) {
            isStoreLost = true;
            opts.report({ kind: "dependency", name: "store", state: "lost", detail });
        },
        onRegained() {
            isStoreLost = false;
            opts.report({ kind: "dependency", name: "store", state: "regained", detail: "" });
        },
    });

    return {
        policy: () => policy,
        waves: () => [...waves.values()].sort((a, b) => a.wave - b.wave),
        evacuatedZones: () => evacuatedZones,
        ageMs() {
            const freshAtMs = follower.freshAtMs();
            return freshAtMs === undefined ? undefined : opts.clocks.suspendAwareMs() - freshAtMs;
        },
        isStoreLost: () => isStoreLost,
        start: () => follower.start(),
        stop: () => follower.stop(),
    };
}
