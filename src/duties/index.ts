/** Leader election: one entry at a time schedules, under a lease in the platform's store, with a rising fencing token. */
export { chooseStandbys } from "./chooseStandbys";
export { createFailover, type Failover, type FailoverOptions } from "./createFailover";
export { createLagMonitor, type LagMonitor } from "./createLagMonitor";
export { createLeaderElection, leaderKey } from "./createLeaderElection";
export { createLeaderObservation, type LeaderObservation, type LeaderTerm } from "./createLeaderObservation";
export { createLoadMeter, type LoadMeter } from "./createLoadMeter";
export { createPresence, type Presence } from "./createPresence";
export { judgeLeaderLoss, type LeaderLossVerdict, type StandbyReport } from "./judgeLeaderLoss";
export type {
    Fitness,
    LeaderElection,
    LeaderElectionOptions,
    LeaderRecord,
    TakeoverOutcome,
    Tenure,
} from "./leaderElection";
export { type Candidate, computeStrength, rankCandidates, type Ranking } from "./rankCandidates";
