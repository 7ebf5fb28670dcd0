/** Several entries' queues, shares and placement over fake workers and links, for tests and the bench. */
export {
    createDispatchWorld,
    type DispatchWorld,
    type DispatchWorldOptions,
    tasksPerWorker,
    type WorldEntry,
} from "./createDispatchWorld";
export { createFakeLimits, type FakeLimits } from "./createFakeLimits";
export { advance, type Clock, installClock } from "./installClock";
