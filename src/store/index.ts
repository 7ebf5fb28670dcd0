/** The platform's store as the product sees it, the way to it through other entries, and followed prefixes. */
export { createFollower, type Follower } from "./createFollower";
export { createRelayedStore, type RelayedStore } from "./createRelayedStore";
export * from "./store";
