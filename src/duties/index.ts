/** Leader election: one entry at a time schedules, under a lease in the platform's store, with a rising fencing token. */
export { createLagMonitor, type LagMonitor } from "./createLagMonitor";
export {
    createLeaderElection,
    type Fitness,
    type LeaderElection,
    leaderKey,
    type LeaderRecord,
    type Tenure,
} from "./createLeaderElection";
export { createLoadMeter, type LoadMeter } from "./createLoadMeter";
export { createPresence, type Presence } from "./createPresence";
export { type Candidate, computeStrength, rankCandidates, type Ranking } from "./rankCandidates";
