import type { Configuration } from "../configuration";
import type { TaskSize } from "../workers";
import type { Hold, Limits } from "./limits";

export interface LimitsOptions {
    readonly configuration: Configuration;
}

const dimensions = ["tasks", "processors", "memoryMb", "accelerators"] as const;

/** Counts the tasks of this entry alone against the whole limit. */
export function createLimits(opts: LimitsOptions): Limits {
    const holds = new Map<number, Hold>();
    const listeners = new Set<(team: string) => void>();
    let nextId = 1;

    function limitOf(team: string) {
        return opts.configuration.state()?.teams[team]?.limit;
    }

    function usedBy(team: string, dimension: typeof dimensions[number]): number {
        return [...holds.values()]
            .filter((hold) => hold.team === team)
            .reduce((sum, hold) => sum + amountOf(hold.size, dimension), 0);
    }

    return {
        tryTake(team, size) {
            const limit = limitOf(team);
            const fits = limit !== undefined
                && dimensions.every((d) => usedBy(team, d) + amountOf(size, d) <= limit[d]);
            if (!fits) {
                return undefined;
            }
            const hold = { id: nextId++, team, size };
            holds.set(hold.id, hold);
            return hold;
        },
        release(hold) {
            holds.delete(hold.id);
            listeners.forEach((listener) => listener(hold.team));
        },
        isNeverPossible(team, size) {
            const limit = limitOf(team);
            return limit === undefined || dimensions.some((d) => amountOf(size, d) > limit[d]);
        },
        noteDemand() {},
        findPeerWithRoom: () => undefined,
        onRoom(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {},
        stop: () => Promise.resolve(),
    };
}

function amountOf(size: TaskSize, dimension: typeof dimensions[number]): number {
    return dimension === "tasks" ? 1 : size[dimension];
}
