import type { Platform, StoredValue } from "./platform";

export interface WatcherOptions {
    readonly platform: Platform;
    /** How long one watch waits at the platform, in milliseconds. */
    readonly watchMs: number;
    /** How long to wait after the platform failed, in milliseconds. */
    readonly retryMs: number;
}

/** One waiting watch for all the keys that the parts of this daemon follow. */
export interface Watcher {
    /** Calls the listener with each newer value; revisions of one key never go back. */
    follow(key: string, listener: (stored: StoredValue) => void): void;
    /** Takes in a value learnt in another way, such as this daemon's own write. */
    learn(key: string, stored: StoredValue): void;
    /** When the platform last answered, in milliseconds of this entry's clock; `undefined` where it never did. */
    lastAnswerAtMs(): number | undefined;
    start(): void;
    stop(): void;
}

export function createWatcher(opts: WatcherOptions): Watcher {
    const known = new Map<string, number>();
    const listeners = new Map<string, ((stored: StoredValue) => void)[]>();
    let answeredAtMs: number | undefined;
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
                await new Promise((resolve) => setTimeout(resolve, opts.retryMs));
            }
        }
    }

    return {
        follow(key, listener) {
            known.set(key, known.get(key) ?? 0);
            listeners.set(key, [...listeners.get(key) ?? [], listener]);
        },
        learn,
        lastAnswerAtMs: () => answeredAtMs,
        start() {
            isRunning = true;
            void run();
        },
        stop() {
            isRunning = false;
        },
    };
}
