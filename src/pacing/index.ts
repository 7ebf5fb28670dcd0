/** Throttles fillers that share a worker with serving tasks. */
export { choosePace, type ServingReading } from "./choosePace";
