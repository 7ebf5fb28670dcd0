import type { TaskEnd, TaskRequest } from "../../src/tasks";
import type { FakeWorkers } from "../../standins/fakes";

/** One request as its caller saw it. */
export interface SeenAttempt {
    readonly request: TaskRequest;
    readonly entry: number;
    readonly sentAtMs: number;
    end: TaskEnd | undefined;
    endedAtMs: number | undefined;
}

/**
 * Judges what callers were told against what the workers truly started. It knows nothing of claims, tickets or
 * entries: a payload names its key, and the log's placements tell which request an attempt belongs to.
 */
export function judge(
    attempts: readonly SeenAttempt[],
    starts: FakeWorkers["starts"],
    requestOfAttempt: ReadonlyMap<string, string>,
): readonly string[] {
    const faults: string[] = [];
    const startsByPayload = new Map<string, FakeWorkers["starts"]>();
    for (const start of starts) {
        const { payload } = start.order;
        startsByPayload.set(payload, [...startsByPayload.get(payload) ?? [], start]);
    }
    for (const [payload, all] of startsByPayload) {
        if (all.length > 1) {
            const who = all.map(({ order, atMs }) => `${requestOfAttempt.get(order.attempt)} at ${atMs}`).join(", ");
            faults.push(`"${payload}" was started ${all.length} times: ${who}`);
        }
    }
    for (const attempt of attempts) {
        const own = startsByPayload.get(attempt.request.payload) ?? [];
        const fault = judgeEnd(attempt, own, requestOfAttempt);
        if (fault !== undefined) {
            faults.push(`${attempt.request.id} at entry ${attempt.entry}: ${fault}`);
        }
    }
    return faults;
}

function judgeEnd(
    { request, sentAtMs, end }: SeenAttempt,
    own: FakeWorkers["starts"],
    requestOfAttempt: ReadonlyMap<string, string>,
): string | undefined {
    if (end === undefined) {
        return undefined;
    }
    if (end.kind === "answered") {
        return end.body === `done ${request.payload}` ? undefined : `answered with "${end.body}", not its own answer`;
    }
    switch (end.problem.outcome) {
        case "answered":
            return own.length > 0 ? undefined : `said "answered" (${end.problem.code}) but nothing was started`;
        case "not run":
            if (own.some(({ order }) => requestOfAttempt.get(order.attempt) === request.id)) {
                return `said "not run" (${end.problem.code}) but it was started`;
            }
            return own.some(({ atMs }) => atMs < sentAtMs)
                ? `said "not run" (${end.problem.code}) of work that had started before it came`
                : undefined;
        case "unknown":
            return undefined;
    }
}
