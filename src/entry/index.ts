/** The daemon of one entry instance: the one place where the parts are put together. */
export { createEntry, type Entry } from "./createEntry";
