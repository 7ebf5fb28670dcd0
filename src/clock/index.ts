/** Clocks for elapsed time whose errors are on the safe side, and a delay. */
export { type Clocks, createClocks } from "./createClocks";
export { pause } from "./pause";
