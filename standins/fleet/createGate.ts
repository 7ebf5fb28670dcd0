import type { Platform } from "../../src/platform";
import type { Workers } from "../../src/workers";

/** Holds every call of one entry to the outside while the entry is frozen, and for good once it is killed. */
export interface Gate {
    /** Calls that have passed; `freezeAt` freezes the entry before the call of that number. */
    calls: number;
    freezeAt: number;
    /** Freezes the entry right before it sends its next notice to a worker. */
    freezesBeforeNotice: boolean;
    readonly isFrozen: boolean;
    freeze(): void;
    wake(): void;
    kill(): void;
    wrapPlatform(platform: Platform): Platform;
    wrapWorkers(workers: Workers): Workers;
}

export function createGate(onFreeze: () => void = () => {}): Gate {
    const waiting: (() => void)[] = [];
    let isFrozen = false;
    let isKilled = false;

    async function pass(): Promise<void> {
        gate.calls++;
        if (gate.calls === gate.freezeAt) {
            gate.freeze();
        }
        if (isFrozen || isKilled) {
            await new Promise<void>((resolve) => waiting.push(resolve));
        }
    }

    function wrap<T extends (...args: never[]) => Promise<unknown>>(call: T, before = () => {}): T {
        return (async (...args: never[]) => {
            before();
            await pass();
            const answer = await call(...args);
            if (isFrozen || isKilled) {
                await new Promise<void>((resolve) => waiting.push(resolve));
            }
            return answer;
        }) as T;
    }

    const gate: Gate = {
        calls: 0,
        freezeAt: -1,
        freezesBeforeNotice: false,
        get isFrozen() {
            return isFrozen;
        },
        freeze() {
            isFrozen = true;
            onFreeze();
        },
        wake() {
            isFrozen = false;
            waiting.splice(0).forEach((resolve) => resolve());
        },
        kill: () => void (isKilled = true),
        wrapPlatform: (platform) => ({
            read: wrap(platform.read),
            compareAndSwap: wrap(platform.compareAndSwap),
            watch: wrap(platform.watch),
            remove: wrap(platform.remove),
            listInstances: wrap(platform.listInstances),
            close: platform.close,
        }),
        wrapWorkers: (workers) => ({
            ...workers,
            runTask: wrap(workers.runTask),
            stopTask: wrap(workers.stopTask),
            readUsage: wrap(workers.readUsage),
            sendCommand: wrap(workers.sendCommand, () => {
                if (gate.freezesBeforeNotice) {
                    gate.freezesBeforeNotice = false;
                    gate.freeze();
                }
            }),
        }),
    };
    return gate;
}
