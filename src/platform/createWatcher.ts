import { pause } from "../clock";
import type { Platform, StoredValue } from "./platform";

export interface WatcherOptions {
    readonly platform: Platform;
    /** How long one watch waits at the platform, in milliseconds. */
    readonly watchMs: number;
    /** How long to wait after the platform failed, in milliseconds. */
    readonly retryMs: number;
    /** How often one key is read to see that the platform has not gone back, in milliseconds. */
    readonly verifyMs?: number;
}

export type StoredListener = (stored: StoredValue) => void;

/** One waiting watch for all the keys that the parts of this daemon follow. */
export interface Watcher {
    /**
     * Calls the listener with each newer value; revisions of one key never go back.
     * With `onRewound`, the key is also read now and then; that listener is called with the platform's value where
     * the platform has gone back to an older one, and the key is followed from there.
     */
    follow(key: string, listener: StoredListener, onRewound?: StoredListener): void;
    /** Takes in a value learnt in another way, such as this daemon's own write. */
    learn(key: string, stored: StoredValue): void;
    /** Follows the key from an older revision on; only after a write has proved that the platform is there. */
    rewind(key: string, revision: number): void;
    /** When the platform last answered, in milliseconds of this entry's clock; `undefined` where it never did. */
    lastAnswerAtMs(): number | undefined;
    start(): void;
    stop(): void;
}

const defaultVerifyMs = 30_000;

export function createWatcher(opts: WatcherOptions): Watcher {
    const verifyMs = opts.verifyMs ?? defaultVerifyMs;
    const known = new Map<string, number>();
    const listeners = new Map<string, StoredListener[]>();
    const rewoundListeners = new Map<string, StoredListener>();
    const suspected = new Map<string, number>();
    let answeredAtMs: number | undefined;
    let verifyTimer: NodeJS.Timeout | undefined;
    let nextVerified = 0;
    let isRunning = false;

    function learn(key: string, stored: StoredValue): void {
        if (stored.revision > (known.get(key) ?? 0)) {
            known.set(key, stored.revision);
            listeners.get(key)?.forEach((listener) => listener(stored));
        }
    }

    async function run(): Promise<void> {
        while (isRunning) {
            const answer = await opts.platform.watch(known, opts.watchMs);
            answer.ifRight((changes) => {
                answeredAtMs = Date.now();
                changes.forEach((stored, key) => learn(key, stored));
            });
            if (answer.isLeft()) {
                await pause(opts.retryMs);
            }
        }
    }

    /**
     * A platform restored from a backup holds lower revisions than this entry knows, and the watch then stays silent
     * until the key passes them: every change in between would be missed. A single low answer may come from a stale
     * replica, so that two in a row are needed.
     */
    async function verifyOne(): Promise<void> {
        const keys = [...rewoundListeners.keys()];
        const key = keys[nextVerified++ % Math.max(1, keys.length)];
        if (key === undefined) {
            return;
        }
        const answer = await opts.platform.read(key);
        const stored = answer.orDefault(undefined);
        if (answer.isLeft() || (stored?.revision ?? 0) >= (known.get(key) ?? 0)) {
            suspected.delete(key);
            answer.ifRight((value) => value !== undefined && learn(key, value));
            return;
        }
        const times = (suspected.get(key) ?? 0) + 1;
        suspected.set(key, times);
        if (times >= 2) {
            suspected.delete(key);
            const older = stored ?? { text: "", revision: 0 };
            known.set(key, older.revision);
            rewoundListeners.get(key)?.(older);
        }
    }

    return {
        follow(key, listener, onRewound) {
            known.set(key, known.get(key) ?? 0);
            listeners.set(key, [...listeners.get(key) ?? [], listener]);
            if (onRewound !== undefined) {
                rewoundListeners.set(key, onRewound);
            }
        },
        learn,
        rewind(key, revision) {
            known.set(key, revision);
        },
        lastAnswerAtMs: () => answeredAtMs,
        start() {
            isRunning = true;
            void run();
            verifyTimer = setInterval(() => void verifyOne(), verifyMs);
        },
        stop() {
            isRunning = false;
            clearInterval(verifyTimer);
        },
    };
}
