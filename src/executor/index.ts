/** Carries out confirmed plans, on any entry, and watches over instances. */
export { createExecutor } from "./createExecutor";
export { defaultTiming, type Executor, type ExecutorOptions, type ExecutorTiming } from "./executor";
export { rankOf } from "./rankOf";
