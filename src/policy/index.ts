/** The operators' configuration as the platform's store holds it: routes, pools, client accounts, waves. */
export { createPolicyFeed, type PolicyDecoder, type PolicyFeed } from "./createPolicyFeed";
export { findRoute, findTenant } from "./findRoute";
export { isFreshForStarts } from "./isFreshForStarts";
export type { AdviceTerms, Policy, RequestLimits, Route, Service, Tenant, Wave } from "./policy";
