import type { FleetState, Step } from "../state";
import type { ExecutorOptions, ExecutorTiming } from "./executor";
import { rankOf } from "./rankOf";

export interface InstanceListReader {
    /** Reads the list where it is this entry's turn; gives what has to be reported. */
    read(state: FleetState): Promise<readonly Step[]>;
}

const duty = "instance list";
/** The list grows with the fleet; so does the time between two readings, per instance. */
const msPerInstance = 6;
/** Readings in a row that must lack an instance: the list lags, and a single reading may be an old one. */
const leastAbsences = 2;

/** Reports instances that the platform shows as leaving or no longer shows, and those that it shows as live again. */
export function readInstanceList(opts: ExecutorOptions & { readonly timing: ExecutorTiming; }): InstanceListReader {
    const { peers, platform, timing } = opts;
    const seen = new Set<string>();
    const absences = new Map<string, number>();
    let readAtMs = Number.NEGATIVE_INFINITY;

    function isDue(state: FleetState): boolean {
        const everyMs = Math.max(timing.listEveryMs, Object.keys(state.instances).length * msPerInstance);
        const others = peers.connected().map(({ boot }) => boot);
        return Date.now() - readAtMs >= everyMs && rankOf(peers.self.boot, duty, others) === 0;
    }

    function isAbsent(name: string, isListed: boolean): boolean {
        if (isListed) {
            seen.add(name);
            absences.delete(name);
            return false;
        }
        absences.set(name, (absences.get(name) ?? 0) + 1);
        return seen.has(name) && (absences.get(name) ?? 0) >= leastAbsences;
    }

    return {
        async read(state) {
            if (!isDue(state)) {
                return [];
            }
            readAtMs = Date.now();
            const answer = await platform.listInstances();
            if (answer.isLeft()) {
                return [];
            }
            const statuses = new Map(answer.unsafeCoerce().map(({ instance, status }) => [instance, status]));
            return Object.values(state.instances).flatMap((instance): Step[] => {
                const { name, assignmentNumber } = instance;
                const status = statuses.get(name);
                const isLeaving = isAbsent(name, status !== undefined) || status === "leaving";
                const base = { instance: name, assignmentNumber };
                if (isLeaving && instance.state.kind === "serving") {
                    const detail = status === undefined ? "no longer listed" : "listed as leaving";
                    return [{ kind: "reportLost", cause: "leaving", detail, ...base }];
                }
                return status === "live" && instance.state.kind === "lost" && instance.state.cause === "leaving"
                    ? [{ kind: "reportRecovered", ...base }]
                    : [];
            });
        },
    };
}
