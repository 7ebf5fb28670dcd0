import type { Policy } from "../../src/policy";
import {
    addDueOccurrences,
    addSubmission,
    createSchedulerState,
    createWorker,
    type SchedulerState,
} from "../../src/schedule";
import { createRandom } from "../../standins/random";
import { plainPolicy, plainRoute, plainStep } from "../../standins/scheduling";

export interface BusyFleet {
    readonly board: SchedulerState;
    readonly policy: Policy;
}

/** Pools of the fleet; demand turns between them, so that most of what waits waits for one. */
const poolCount = 5;
export const turnPool = 0;
const turnPercent = 80;

const coresPerWorker = 32;
const tasksPerSubmission = 8;

/** Processors that a worker of a full pool has left, in thousandths: less than any task asks for. */
const leftMillis = 300;

/**
 * A fleet in a turn: all workers of the pool whose turn it is are full but for those that have just become free.
 *
 * @param freeWorkers workers of that pool with room
 */
export function createBusyBoard(workers: number, waiting: number, freeWorkers: number, seed: number): BusyFleet {
    const random = createRandom(seed);
    const board = createSchedulerState();
    const pools = Array.from({ length: poolCount }, (_, at) => `pool-${at}`);
    for (let at = 0; at < workers; at++) {
        const pool = at % poolCount;
        const capacityMillis = coresPerWorker * 1000;
        const isFree = pool === turnPool && at < freeWorkers * poolCount;
        board.workers.set(`w${at}`, {
            ...createWorker(`w${at}`, 1),
            pool: pools[pool] ?? "",
            zone: `zone-${at % 3}`,
            capacity: { cpuMillis: capacityMillis, memoryMb: 64_000, accelerators: 0 },
            used: { cpuMillis: isFree ? 0 : capacityMillis - leftMillis, memoryMb: 0, accelerators: 0 },
            isRegistered: true,
            runList: { kind: "read", firstReadAtMs: 0, askedAtMs: 0 },
        });
    }
    for (let at = 0; at < waiting / tasksPerSubmission; at++) {
        const pool = random.chance(turnPercent) ? turnPool : random.int(0, poolCount - 1);
        const size = { cpuMillis: random.int(500, 9000), memoryMb: 1000, accelerators: 0 };
        const submission = {
            id: `s${at}`,
            payload: "",
            steps: [{ ...plainStep, count: tasksPerSubmission, size }],
            schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
            tenant: "giza",
            route: `route-${pool}`,
            service: pools[pool] ?? "",
            acceptedAtMs: 0,
        };
        addDueOccurrences(addSubmission(board, submission, 1, false, 0), 0, 0);
    }
    const routes = pools.map((service, at) => ({ ...plainRoute, name: `route-${at}`, service }));
    return { board, policy: { ...plainPolicy, queues: routes } };
}
