/** Elapsed time, read on the side on which an error does no harm. */
export { type Clocks, createClocks } from "./createClocks";
