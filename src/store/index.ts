/** Interface of the platform's store, relaying of store calls through other entries, loss of the store, and watched prefixes. */
export { catchUp } from "./catchUp";
export { createHedgedStore, watchOverdueMs } from "./createHedgedStore";
export { createPrefixWatcher, type PrefixSnapshot, type PrefixWatcher } from "./createPrefixWatcher";
export { createRelayedStore, type RelayedStore } from "./createRelayedStore";
export { createStoreHealth, type StoreHealth, storeProbeTimeoutMs } from "./createStoreHealth";
export * from "./store";
