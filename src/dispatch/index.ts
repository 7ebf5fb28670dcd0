/** Where and when a task runs: fair order, placement, and one attempt after another. */
export { createDispatch, type DispatchOptions } from "./createDispatch";
export type { Dispatch, DispatchRequest } from "./dispatch";
