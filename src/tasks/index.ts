/** Callers' tasks: their types and the way each takes from acceptance to its end. */
export { createTasks, type TasksOptions } from "./createTasks";
export type { TaskEnd, TaskRequest, Tasks } from "./task";
export { taskBodySchema } from "./taskBody";
export { taskMessageSchema } from "./taskMessage";
