/** Interface of the platform: versioned values, one shared watch, and the instance list. */
export { type CallListener, countCalls } from "./countCalls";
export { createKeyWatcher, type KeyWatcher, type KeyWatcherOptions } from "./createKeyWatcher";
export { createRegistration, type Registration } from "./createRegistration";
export { createStorePlatform, type StorePlatformOptions } from "./createStorePlatform";
export type {
    InstanceListing,
    InstanceStatus,
    KnownRevisions,
    Platform,
    PlatformFailure,
    StoredValue,
    SwapFailure,
} from "./platform";
