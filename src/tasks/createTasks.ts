import type { Dispatch } from "../dispatch";
import type { Problem } from "../errors";
import type { Claim, IdempotencyGuard } from "../once";
import type { TaskEnd, TaskRequest, Tasks } from "./task";

export interface TasksOptions {
    readonly dispatch: Pick<Dispatch, "run">;
    readonly once: IdempotencyGuard;
    /** Gives a problem where the task's key has been withdrawn since it came. */
    readonly checkKey: (request: TaskRequest) => Problem | undefined;
}

/** Takes a task through its claim, its turn, its run and its end. */
export function createTasks(opts: TasksOptions): Tasks {
    let count = 0;

    async function runClaimed(request: TaskRequest, claim: Claim, signal: AbortSignal): Promise<TaskEnd> {
        const end = await opts.dispatch.run({
            task: request,
            signal,
            beforeSend: async () => opts.checkKey(request) ?? await opts.once.claim(claim) ?? opts.checkKey(request),
        });
        return opts.once.settle(claim, end, signal);
    }

    async function run(request: TaskRequest, signal: AbortSignal): Promise<TaskEnd> {
        if (request.repeatable) {
            return opts.dispatch.run({
                task: request,
                signal,
                beforeSend: () => Promise.resolve(opts.checkKey(request)),
            });
        }
        const admission = await opts.once.admit(request, signal);
        switch (admission.kind) {
            case "ended":
                return admission.end;
            case "run":
                return runClaimed(request, admission.claim, signal);
        }
    }

    async function runCounted(request: TaskRequest, signal: AbortSignal): Promise<TaskEnd> {
        count++;
        try {
            return await run(request, signal);
        }
        finally {
            count--;
        }
    }

    opts.once.setForwardedRunner(runCounted);
    return {
        run: runCounted,
        runningCount: () => count,
    };
}
