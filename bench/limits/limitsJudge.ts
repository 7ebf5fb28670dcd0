import type { FleetState, UpperLimit } from "../../src/state";
import type { FakeWorkers } from "../../standins/fakes";

export interface LimitsJudge {
    /** Sentences on what was broken, each with its moment. */
    readonly broken: string[];
    /** Hears of each accepted configuration. */
    learn(state: FleetState): void;
    /** Some entry said that the team's limit of this revision is in force. */
    claim(team: string, revision: number): void;
    runningOf(team: string): UpperLimit;
}

interface KnownLimit {
    readonly revision: number;
    readonly limit: UpperLimit;
}

const dimensions = ["tasks", "processors", "memoryMb", "accelerators"] as const;
const none: UpperLimit = { tasks: 0, processors: 0, memoryMb: 0, accelerators: 0 };

/** Room for the error of adding fractions of processors. */
const tolerance = 1e-6;

/** Counts what the workers truly run; knows nothing of slices or ledgers. */
export function createLimitsJudge(workers: FakeWorkers): LimitsJudge {
    const broken: string[] = [];
    const limits = new Map<string, KnownLimit[]>();

    function runningOf(team: string): UpperLimit {
        const orders = [...workers.workers.values()]
            .flatMap((worker) => [...worker.running.values()].map(({ order }) => order))
            .filter((order) => order.team === team);
        return {
            tasks: orders.length,
            processors: orders.reduce((sum, { size }) => sum + size.processors, 0),
            memoryMb: orders.reduce((sum, { size }) => sum + size.memoryMb, 0),
            accelerators: orders.reduce((sum, { size }) => sum + size.accelerators, 0),
        };
    }

    /** The largest limit that may still count: each is over once a later one was said to be in force. */
    function check(team: string): void {
        const known = limits.get(team) ?? [];
        const running = runningOf(team);
        for (const dimension of dimensions) {
            const most = Math.max(...known.map(({ limit }) => limit[dimension]));
            if (running[dimension] > most + tolerance) {
                broken.push(`at ${Date.now()} team ${team} runs ${running[dimension]} ${dimension}, limit ${most}`);
            }
        }
    }

    workers.onChange = () => limits.forEach((_, team) => check(team));

    return {
        broken,
        learn(state) {
            for (const team of new Set([...limits.keys(), ...Object.keys(state.teams)])) {
                const limit = state.teams[team]?.limit ?? none;
                const known = limits.get(team) ?? [];
                limits.set(team, [...known, { revision: state.revision, limit }]);
            }
        },
        claim(team, revision) {
            const known = limits.get(team) ?? [];
            const at = known.findLastIndex((each) => each.revision <= revision);
            limits.set(team, known.slice(Math.max(0, at)));
            check(team);
        },
        runningOf,
    };
}
