/** The platform's key-value service and instance list, behind one narrow interface. */
export { type CallListener, countCalls } from "./countCalls";
export { createHttpPlatform, type HttpPlatformOptions } from "./createHttpPlatform";
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
