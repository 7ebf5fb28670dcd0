/** Elapsed time, read on the side on which an error does no harm, and waiting. */
export { type Clocks, createClocks } from "./createClocks";
export { pause } from "./pause";
