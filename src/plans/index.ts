/** Operators' intents, and the plans that answer them. */
export { createPlan } from "./createPlan";
export { type Intent, intentSchema } from "./intent";
export type { Plan } from "./plan";
