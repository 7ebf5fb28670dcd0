import { createProblem, type Problem } from "../errors";
import type { AuthenticatedTeam } from "../keys";
import type { FleetState } from "../state";
import { taskBodySchema, type TaskRequest } from "../tasks";

/** A checked task, and whether its caller waits for the end. */
export interface ReadTask {
    readonly request: TaskRequest;
    readonly isAwaited: boolean;
}

/** Checks what a caller sent; nothing of it is taken where a field is wrong. */
export function readTask(
    body: unknown,
    caller: AuthenticatedTeam,
    state: FleetState,
    id: string,
): ReadTask | Problem {
    const parsed = taskBodySchema.safeParse(body);
    if (!parsed.success) {
        const fields = parsed.error.issues.map(({ path, message }) => ({ field: path.join("."), message }));
        return createProblem("INVALID_REQUEST", "the task is not valid", { fields });
    }
    const { wait, deadlineMs, idempotencyKey, ...task } = parsed.data;
    if (!(state.teams[caller.team]?.pools.includes(task.pool) ?? false)) {
        return createProblem("POOL_FORBIDDEN", `team ${caller.team} may not use pool ${task.pool}`);
    }
    const request: TaskRequest = {
        ...task,
        ...idempotencyKey === undefined ? {} : { idempotencyKey },
        id,
        team: caller.team,
        keyId: caller.keyId,
        deadlineAtMs: Date.now() + deadlineMs,
    };
    return { request, isAwaited: wait };
}
