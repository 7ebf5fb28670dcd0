/** The daemon of one entry instance. Its parts are wired together only here. */
export { type Core, type CoreOptions, createCore } from "./createCore";
export { createEntry, type Entry } from "./createEntry";
