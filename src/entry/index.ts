/** The daemon of one entry instance: the one place where the parts are put together. */
export { type Core, type CoreOptions, createCore } from "./createCore";
export { createEntry, type Entry } from "./createEntry";
