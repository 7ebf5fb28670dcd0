import type { Worker } from "./schedulerState";
import { createOutcomes } from "./workerHealth";

/** Creates the state of a worker of which only the id and the incarnation are known. */
export function createWorker(id: string, bornMs: number): Worker {
    return {
        id,
        bornMs,
        address: "",
        pool: "",
        zone: "",
        rack: "",
        labels: [],
        capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        isDraining: false,
        drainLeftMs: 0,
        isRegistered: false,
        runList: { kind: "unread" },
        isReachable: true,
        isEvacuated: false,
        isReserved: false,
        clock: undefined,
        leaseUntilWorkerMs: 0,
        answeredAtMs: 0,
        inheritedAtMs: undefined,
        ackedEnd: 0,
        runs: new Set(),
        used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
        strayRunCount: 0,
        outcomes: createOutcomes(),
        idleSinceMs: 0,
    };
}
