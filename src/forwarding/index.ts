/**
 * Forwards tasks to an entry with free capacity in the team's limit while this entry has none and no capacity can be
 * moved to it.
 */
export { createForwarding, type ForwardingOptions } from "./createForwarding";
