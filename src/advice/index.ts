/** Placement permits for queues whose steps may run only on workers that an external service allows. */
export type { Advice, AdviceResult, Permit } from "./advice";
export { type Advisor, createAdvisor } from "./createAdvisor";
