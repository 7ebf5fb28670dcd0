/** Placement permits for queues whose steps may run only on workers that an external service allows. */
export type { AdviceClient, AdviceResult, Permit } from "./adviceClient";
export { createPermitCache, type PermitCache } from "./createPermitCache";
export type { AdviceCandidate } from "./createStepPermits";
