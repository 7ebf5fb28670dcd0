/**
 * Divides each team's upper limit into slices. An entry starts tasks within its own slices without asking other
 * entries.
 */
export { createLimits, type LimitsOptions } from "./createLimits";
export type { Hold, Limits, SliceHolder, TeamDivision } from "./limits";
