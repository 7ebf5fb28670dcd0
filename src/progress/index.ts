/** What has happened to tasks, written before anything follows from it. */
export { createProgressWriter, type ProgressWriter } from "./createProgressWriter";
export { decodeProgress, progressKey, progressPrefix, type TaskProgress } from "./progressRecord";
