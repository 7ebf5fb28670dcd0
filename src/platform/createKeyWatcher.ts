import { pause } from "../clock";
import type { Platform, StoredValue } from "./platform";

export interface KeyWatcherOptions {
    readonly platform: Platform;
    /** Long-poll duration of one watch, in milliseconds. */
    readonly watchMs: number;
    /** Retry delay after the platform failed, in milliseconds. */
    readonly retryMs: number;
    /** Interval at which one key is read to check that the platform was not rolled back, in milliseconds. */
    readonly verifyMs?: number;
}

export type StoredListener = (stored: StoredValue) => void;

/** One long poll shared by all keys that modules of this daemon watch. */
export interface KeyWatcher {
    /**
     * Calls the listener with each newer value; revisions of one key never decrease.
     * With `onRolledBack`, the key is also read periodically. If the platform was rolled back to an older value, that
     * listener is called with it, and the key is watched from its revision on.
     */
    subscribe(key: string, listener: StoredListener, onRolledBack?: StoredListener): void;
    /** Applies a value that was learned by other means, such as this daemon's own write. */
    observe(key: string, stored: StoredValue): void;
    /**
     * Watches the key from an older revision on. Call it only after a write has proved that the platform is at
     * that revision.
     */
    rewind(key: string, revision: number): void;
    /**
     * Time of the platform's last answer to a watch, in milliseconds of this entry's clock; `undefined` before the
     * first.
     */
    lastAnswerAtMs(): number | undefined;
    start(): void;
    stop(): void;
}

/** Default of `verifyMs`, in milliseconds. */
const defaultVerifyMs = 30_000;

export function createKeyWatcher(opts: KeyWatcherOptions): KeyWatcher {
    const verifyMs = opts.verifyMs ?? defaultVerifyMs;
    const known = new Map<string, number>();
    const listeners = new Map<string, StoredListener[]>();
    const rollbackListeners = new Map<string, StoredListener>();
    /** Number of consecutive reads of a key with a lower revision than the known one. */
    const lowerReads = new Map<string, number>();
    let lastAnsweredAtMs: number | undefined;
    let verifyTimer: NodeJS.Timeout | undefined;
    let nextKeyIndex = 0;
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
                lastAnsweredAtMs = Date.now();
                changes.forEach((stored, key) => learn(key, stored));
            });
            if (answer.isLeft()) {
                await pause(opts.retryMs);
            }
        }
    }

    /**
     * Reads the next key to detect a rollback. A platform restored from a backup holds lower revisions than this entry
     * knows. The watch then reports nothing until the key passes the known revision, and all changes before that are
     * missed. A single lower revision may come from a stale replica, so two in a row are required.
     */
    async function verifyNextKey(): Promise<void> {
        const keys = [...rollbackListeners.keys()];
        const key = keys[nextKeyIndex++ % Math.max(1, keys.length)];
        if (key === undefined) {
            return;
        }
        const answer = await opts.platform.read(key);
        const stored = answer.orDefault(undefined);
        if (answer.isLeft() || (stored?.revision ?? 0) >= (known.get(key) ?? 0)) {
            lowerReads.delete(key);
            answer.ifRight((value) => value !== undefined && learn(key, value));
            return;
        }
        const count = (lowerReads.get(key) ?? 0) + 1;
        lowerReads.set(key, count);
        if (count >= 2) {
            lowerReads.delete(key);
            const rolledBack = stored ?? { text: "", revision: 0 };
            known.set(key, rolledBack.revision);
            rollbackListeners.get(key)?.(rolledBack);
        }
    }

    return {
        subscribe(key, listener, onRolledBack) {
            known.set(key, known.get(key) ?? 0);
            listeners.set(key, [...listeners.get(key) ?? [], listener]);
            if (onRolledBack !== undefined) {
                rollbackListeners.set(key, onRolledBack);
            }
        },
        observe: learn,
        rewind(key, revision) {
            known.set(key, revision);
        },
        lastAnswerAtMs: () => lastAnsweredAtMs,
        start() {
            isRunning = true;
            void run();
            verifyTimer = setInterval(() => void verifyNextKey(), verifyMs);
        },
        stop() {
            isRunning = false;
            clearInterval(verifyTimer);
        },
    };
}
