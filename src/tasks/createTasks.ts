import type { Dispatch } from "../dispatch";
import type { Claim, Once } from "../once";
import type { TaskEnd, TaskRequest, Tasks } from "./task";

export interface TasksOptions {
    readonly dispatch: Dispatch;
    readonly once: Once;
}

/** Takes a task through its claim, its turn, its run and its end. */
export function createTasks(opts: TasksOptions): Tasks {
    let count = 0;

    async function runClaimed(request: TaskRequest, claim: Claim, signal: AbortSignal): Promise<TaskEnd> {
        const end = await opts.dispatch.run({ task: request, signal, beforeSend: () => opts.once.claim(claim) });
        opts.once.settle(claim, end);
        return end;
    }

    async function run(request: TaskRequest, signal: AbortSignal): Promise<TaskEnd> {
        if (request.repeatable) {
            return opts.dispatch.run({ task: request, signal, beforeSend: () => Promise.resolve(undefined) });
        }
        const admission = await opts.once.admit(request, signal);
        switch (admission.kind) {
            case "ended":
                return admission.end;
            case "run":
                return runClaimed(request, admission.claim, signal);
        }
    }

    return {
        async run(request, signal) {
            count++;
            try {
                return await run(request, signal);
            }
            finally {
                count--;
            }
        },
        runningCount: () => count,
    };
}
