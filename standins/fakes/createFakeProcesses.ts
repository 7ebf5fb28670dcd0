import { AsyncLocalStorage } from "node:async_hooks";

/** One process of a test that shares this one's memory and clock. */
export interface FakeProcess {
    /** Runs the function as a part of this process: timers that it sets belong to the process. */
    run<T>(action: () => T): T;
    /** Resolves at once, or when the process wakes; never where it was killed. */
    awake(): Promise<void>;
    freeze(): void;
    wake(): void;
    kill(): void;
    isFrozen(): boolean;
    isKilled(): boolean;
}

export interface FakeProcesses {
    create(): FakeProcess;
    /** Runs the function outside any process, such as the inside of a worker or of the network. */
    outside<T>(action: () => T): T;
    uninstall(): void;
}

interface ProcessState {
    isFrozen: boolean;
    isKilled: boolean;
    readonly waiting: Set<() => void>;
}

/**
 * Ties timers to the process that set them, so that a frozen process runs nothing until it wakes and a killed one
 * never again. To be installed after the fake clock.
 */
export function createFakeProcesses(): FakeProcesses {
    const storage = new AsyncLocalStorage<ProcessState | undefined>();
    const original = { setTimeout: globalThis.setTimeout, setInterval: globalThis.setInterval };

    function tie(action: (...args: unknown[]) => void): (...args: unknown[]) => void {
        const state = storage.getStore();
        if (state === undefined) {
            return action;
        }
        const attempt = () => {
            if (state.isFrozen) {
                state.waiting.add(attempt);
            }
            else if (!state.isKilled) {
                storage.run(state, action);
            }
        };
        return attempt;
    }

    globalThis.setTimeout =
        ((action: () => void, ms?: number) => original.setTimeout(tie(action), ms)) as typeof setTimeout;
    globalThis.setInterval =
        ((action: () => void, ms?: number) => original.setInterval(tie(action), ms)) as typeof setInterval;

    function create(): FakeProcess {
        const state: ProcessState = { isFrozen: false, isKilled: false, waiting: new Set() };
        return {
            run: (action) => storage.run(state, action),
            awake: () =>
                new Promise((resolve) => {
                    if (state.isFrozen) {
                        state.waiting.add(resolve);
                    }
                    else if (!state.isKilled) {
                        resolve();
                    }
                }),
            freeze: () => void (state.isFrozen = true),
            wake() {
                state.isFrozen = false;
                const waiting = [...state.waiting];
                state.waiting.clear();
                waiting.forEach((action) => action());
            },
            kill() {
                state.isKilled = true;
                state.waiting.clear();
            },
            isFrozen: () => state.isFrozen,
            isKilled: () => state.isKilled,
        };
    }

    return {
        create,
        outside: (action) => storage.run(undefined, action),
        uninstall: () => void Object.assign(globalThis, original),
    };
}
