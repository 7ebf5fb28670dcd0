/** Decides when and on which worker a task runs: fair queueing, placement, and retries. */
export { createDispatch, type DispatchOptions } from "./createDispatch";
export type { Dispatch, DispatchRequest } from "./dispatch";
