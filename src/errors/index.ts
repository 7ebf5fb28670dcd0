/** Errors returned to callers and operators: a stable code, a message and a hint. */
export { createProblem } from "./createProblem";
export { Outcome, type Problem, type ProblemCode, problemCodes } from "./problem";
