/** Admission: the leader's load summary, and the entries' decision on excess submissions. */
export { type Admission, type AdmissionRequest, createAdmission } from "./createAdmission";
export { createLoadBroadcaster, type LoadBroadcaster, type LoadMeasurement } from "./createLoadBroadcaster";
export { type AdmissionBasis, type AdmissionDecision, decideAdmission, summaryLifetimeMs } from "./decideAdmission";
export { type AccountTokens, listAccountLoads } from "./listAccountLoads";
export { decodeLoadSummary, type LoadSummary, loadSummaryTopic } from "./loadSummary";
export { type AccountLoad, excessWaitMs, type PoolBacklog, summarizeLoad } from "./summarizeLoad";
