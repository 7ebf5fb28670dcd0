/** The operators' configuration in the platform's store: queues, pools, client accounts, maintenance waves, evacuations. */
export { chooseWatchWaitMs } from "./chooseWatchWaitMs";
export { createPolicyWatcher, type PolicyDecoder, type PolicyWatcher } from "./createPolicyWatcher";
export { findQueue, findTenant } from "./findQueue";
export { isFreshEnoughToStart } from "./isFreshEnoughToStart";
export {
    type AdviceConfig,
    type Policy,
    type PoolConfig,
    type QueueConfig,
    type QueueTerms,
    type RequestLimits,
    type Tenant,
    termsOf,
    type Wave,
} from "./policy";
