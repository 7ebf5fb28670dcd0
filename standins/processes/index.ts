/** Starts the product and its stand-ins as processes of their own, for tests, the demo and the bench. */
export { callHttp, type HttpAnswer } from "./callHttp";
export { createPoolIntent, type PoolIntentOptions } from "./createPoolIntent";
export { type EntryProcess, type Fleet, type FleetOptions, startFleet } from "./startFleet";
export { type Forwarder, startForwarder } from "./startForwarder";
export { findFreePort, type Process, startProcess } from "./startProcess";
