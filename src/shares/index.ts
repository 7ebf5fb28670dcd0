/** Who is next: weighted max-min shares of each pool over the whole fleet. */
export { createShares, type SharesOptions } from "./createShares";
export type { Offers, Reclaim, ShareAmounts, Shares, Turn, WaitingWork } from "./shares";
