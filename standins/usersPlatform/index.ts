/** The users' platform by its published protocol, over the stand-ins in memory: store, workers, machines. */
export { encodeNodeSettings, encodePolicy, encodeSubmission, encodeWave, encodeWorkerEntry } from "./encodeEntries";
export { findFencingToken } from "./findFencingToken";
export { type JsonServer, serveJson } from "./serveJson";
export { serveMachines } from "./serveMachines";
export { answerStoreCall, serveStore } from "./serveStore";
export { serveWorker } from "./serveWorkers";
