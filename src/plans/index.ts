/** Operators' intents, and the plans that answer them. */
export { compareWithPlan, type PlanDifference } from "./compareWithPlan";
export { createPlan } from "./createPlan";
export { type Intent, intentSchema } from "./intent";
export { type Plan, type PlanClaim, planClaimSchema, type PoolEffect } from "./plan";
