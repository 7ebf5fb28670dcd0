/** Leader election: one entry at a time schedules, under a lease in the platform's store, with a rising fencing token. */
export { createDuty, type Duty, type DutyHolder, dutyKey, type Fitness, type Tenure } from "./createDuty";
export { createLagGuard, type LagGuard } from "./createLagGuard";
export { createLoadMeter, type LoadMeter } from "./createLoadMeter";
export { createPresence, type Presence } from "./createPresence";
export { type Candidate, measureStrength, rankCandidates, type Standing } from "./rankCandidates";
