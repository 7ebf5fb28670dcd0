import { install } from "@sinonjs/fake-timers";

export interface Clock {
    /** Moves the clock on by whole milliseconds, and lets everything that waits for nothing run after each. */
    advance(ms: number): Promise<void>;
    uninstall(): void;
}

/** Puts a clock that tests advance in the place of the runtime's. */
export function installClock(): Clock {
    const realImmediate = setImmediate;
    const clock = install({
        now: 1_000_000,
        toFake: ["Date", "performance", "setTimeout", "clearTimeout", "setInterval", "clearInterval"],
    });
    return {
        advance: (ms) => advance(ms, (step) => void clock.tick(step), realImmediate),
        uninstall: () => clock.uninstall(),
    };
}

export async function advance(
    ms: number,
    tick: (ms: number) => void,
    immediate: (run: () => void) => unknown,
): Promise<void> {
    await new Promise<void>((resolve) => immediate(resolve));
    for (let at = 0; at < ms; at++) {
        tick(1);
        await new Promise<void>((resolve) => immediate(resolve));
    }
}
