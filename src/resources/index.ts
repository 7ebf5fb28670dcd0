/** Resource amounts of tasks, machines and limits. */
export type { Resources } from "./resources";
