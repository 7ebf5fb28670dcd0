/** Progress of tasks, written to the store before the leader acts on it. */
export { createProgressWriter, type ProgressWriter } from "./createProgressWriter";
export { decodeProgress, progressKey, progressPrefix, type TaskProgress } from "./progressRecord";
