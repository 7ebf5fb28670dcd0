/** Interface of the platform: versioned values, one shared watch, and the instance list. */
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
