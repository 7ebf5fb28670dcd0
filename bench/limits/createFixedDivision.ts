import type { Hold, Limits } from "../../src/limits";
import type { UpperLimit } from "../../src/state";
import type { TaskSize } from "../../src/workers";
import type { LimitsEntryPorts } from "./limitsWorld";

/** The baseline: every entry has the same fixed part of each limit, at least one task where the limit allows it. */
export function createFixedDivision({ configuration, members, peers }: LimitsEntryPorts): Limits {
    const listeners = new Set<(team: string) => void>();
    const used = new Map<string, UpperLimit>();
    let nextId = 1;

    function partOf(team: string): UpperLimit {
        const limit = configuration.state()?.teams[team]?.limit ?? none;
        const boots = (members.recorded() ?? []).map(({ boot }) => boot).sort();
        const count = Math.max(1, boots.length);
        const extra = boots.indexOf(peers.self.boot) < limit.tasks % count ? 1 : 0;
        const tasks = Math.floor(limit.tasks / count) + extra;
        const share = limit.tasks === 0 ? 0 : tasks / limit.tasks;
        return {
            tasks,
            processors: limit.processors * share,
            memoryMb: limit.memoryMb * share,
            accelerators: limit.accelerators * share,
        };
    }

    function add(team: string, size: TaskSize, sign: 1 | -1): UpperLimit {
        const before = used.get(team) ?? none;
        return {
            tasks: before.tasks + sign,
            processors: before.processors + sign * size.processors,
            memoryMb: before.memoryMb + sign * size.memoryMb,
            accelerators: before.accelerators + sign * size.accelerators,
        };
    }

    function release({ team, size }: Hold): void {
        used.set(team, add(team, size, -1));
        listeners.forEach((listener) => listener(team));
    }

    return {
        tryAcquire(team, size) {
            const next = add(team, size, 1);
            const part = partOf(team);
            if (dimensions.some((name) => next[name] > part[name] + tolerance)) {
                return undefined;
            }
            used.set(team, next);
            return { id: nextId++, team, size };
        },
        release,
        releaseAfter: (hold, delayMs) => void setTimeout(() => release(hold), delayMs),
        isNeverPossible: () => false,
        recordDemand() {},
        hasFreeCapacity: () => false,
        findPeerWithCapacity: () => undefined,
        onCapacityAvailable(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        readDivisions: () => Promise.reject(new Error("not offered by the baseline")),
        start() {},
        stop: () => Promise.resolve(),
    };
}

const dimensions = ["tasks", "processors", "memoryMb", "accelerators"] as const;
const none: UpperLimit = { tasks: 0, processors: 0, memoryMb: 0, accelerators: 0 };
const tolerance = 1e-6;
