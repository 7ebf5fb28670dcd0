import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import { createFollower, type Store } from "../store";
import type { Policy, Wave } from "./policy";

/** Turns what operators wrote into the product's types; `undefined` where it can't be read. */
export interface PolicyDecoder {
    readonly prefix: string;
    decodePolicy(key: string, text: string): Policy | undefined;
    decodeWave(key: string, text: string): Wave | undefined;
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

/** Follows the operators' configuration and maintenance waves. */
export function createPolicyFeed(opts: PolicyFeedOptions): PolicyFeed {
    let policy: Policy | undefined;
    const waves = new Map<string, Wave>();
    let isStoreLost = false;

    function take(key: string, text: string): void {
        const wave = opts.decoder.decodeWave(key, text);
        if (wave !== undefined) {
            waves.set(key, wave);
            return;
        }
        const next = opts.decoder.decodePolicy(key, text);
        if (next === undefined) {
            opts.report({ kind: "valueRefused", key, detail: "it is neither a configuration nor a wave" });
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
                waves.delete(key);
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
        ageMs() {
            const freshAtMs = follower.freshAtMs();
            return freshAtMs === undefined ? undefined : opts.clocks.suspendAwareMs() - freshAtMs;
        },
        isStoreLost: () => isStoreLost,
        start: () => follower.start(),
        stop: () => follower.stop(),
    };
}
