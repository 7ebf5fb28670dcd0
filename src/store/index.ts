/** Interface of the platform's store, relaying of store calls through other entries, and watched prefixes. */
export { createFollower, type Follower } from "./createFollower";
export { createRelayedStore, type RelayedStore } from "./createRelayedStore";
export * from "./store";
