import { createHealth } from "./createHealth";
import { createPlanRunner } from "./createPlanRunner";
import { defaultTiming, type Executor, type ExecutorOptions } from "./executor";

/** Carries out plans and watches over instances, side by side with every other entry. */
export function createExecutor(opts: ExecutorOptions): Executor {
    const timing = { ...defaultTiming, ...opts.timing };
    const parts = [createPlanRunner({ ...opts, timing }), createHealth({ ...opts, timing })];
    return {
        start: () => parts.forEach((part) => part.start()),
        stop: async () => {
            await Promise.all(parts.map((part) => part.stop()));
        },
    };
}
