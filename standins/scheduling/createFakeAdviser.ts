import { type AdviceResult } from "../../src/advice";
import { pause } from "../../src/clock";
import type { AdviceConfig } from "../../src/policy";
import type { FakeTaskWorkers, WorkerEvent } from "./createFakeTaskWorkers";

export interface FakeAdviserOptions {
    readonly advice: AdviceConfig;
    readonly workers: Pick<FakeTaskWorkers, "get">;
    /** Whether the policy allows a worker to run a step. */
    isPermitted(step: string, workerId: string): boolean;
}

/** The advice service: decides on one request at a time, and its tickets end with the life of their worker. */
export function createFakeAdviser({ advice, workers, isPermitted }: FakeAdviserOptions) {
    let last: Promise<unknown> = Promise.resolve();

    async function decide(workerIds: readonly string[], step: string): Promise<AdviceResult> {
        const permits = workerIds.filter((id) => isPermitted(step, id)).map((workerId) => ({
            workerId,
            ticket: [workers.get(workerId).bornMs, performance.now() + advice.validityMs].join(" "),
        }));
        await pause(advice.decisionMs + advice.perWorkerMs * workerIds.length);
        return { kind: "permits", permits, validityMs: advice.validityMs };
    }

    return {
        advise(workerIds: readonly string[], step: string): Promise<AdviceResult> {
            const answer = last.then(() => decide(workerIds, step));
            last = answer;
            return answer;
        },
    };
}

/** Whether a start carried a ticket that was valid in that life of the worker. */
export function hasValidTicket({ ticket, bornMs, atMs }: WorkerEvent): boolean {
    const [ticketBornMs, untilMs] = (ticket ?? "").split(" ").map(Number);
    return ticketBornMs === bornMs && untilMs !== undefined && atMs <= untilMs;
}
