/** The users' platform by its published protocol, over the stand-ins in memory: store, workers, machines. */
export { encodePolicy, encodeWave, encodeWorkerEntry } from "./encodeEntries";
export type { JsonServer } from "./serveJson";
export { serveMachines } from "./serveMachines";
export { serveStore } from "./serveStore";
export { serveWorker } from "./serveWorkers";
