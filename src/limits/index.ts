/** Each team's upper limit, divided over the entries as standing slices. */
export { createLimits, type LimitsOptions } from "./createLimits";
export type { Hold, Limits, SliceHolder, TeamDivision } from "./limits";
