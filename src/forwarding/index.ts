/** Tasks passed on to an entry that has room in the team's limit, while none can be moved to this one. */
export { createForwarding, type ForwardingOptions } from "./createForwarding";
