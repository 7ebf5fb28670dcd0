/**
 * Divides each pool over the teams by weighted max-min shares of the whole fleet, and chooses which team starts next.
 */
export { createShares, type SharesOptions } from "./createShares";
export type { Offers, Reclaim, ShareAmounts, Shares, Turn, WaitingWork } from "./shares";
