/** Rates of client accounts, and fair division among accounts and pools, without I/O or clock. */
export { type AccountRates, createAccountRates, SubmissionClass } from "./createAccountRates";
export { divideMaxMin } from "./divideMaxMin";
export { weightedDominantShare } from "./weightedDominantShare";
