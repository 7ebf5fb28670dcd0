/** Permissions for queues whose steps may only run on workers that an outside service names. */
export type { Advice, AdviceResult, Permit } from "./advice";
export { type Advisor, createAdvisor } from "./createAdvisor";
