/** The callers' HTTP interface: tasks in, answers or problem documents out. */
export { type CallersOptions, createCallers } from "./createCallers";
