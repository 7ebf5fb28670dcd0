/** What the parts of an entry need of the platform: values with revisions, one watch, and the list of instances. */
export { type CallListener, countCalls } from "./countCalls";
export { createRegistration, type Registration } from "./createRegistration";
export { createStorePlatform, type StorePlatformOptions } from "./createStorePlatform";
export { createWatcher, type Watcher, type WatcherOptions } from "./createWatcher";
export type {
    InstanceListing,
    InstanceStatus,
    KnownRevisions,
    Platform,
    PlatformFailure,
    StoredValue,
    SwapFailure,
} from "./platform";
