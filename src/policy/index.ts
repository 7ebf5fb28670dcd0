/** The operators' configuration in the platform's store: queues, pools, client accounts, maintenance waves, evacuations. */
export { createPolicyFeed, type PolicyDecoder, type PolicyFeed } from "./createPolicyFeed";
export { findRoute, findTenant } from "./findRoute";
export { isFreshForStarts } from "./isFreshForStarts";
export type { AdviceTerms, Policy, RequestLimits, Route, Service, Tenant, Wave } from "./policy";
