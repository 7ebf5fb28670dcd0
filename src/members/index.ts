/** Cluster membership: which boots of entries are members, and which have provably ended. */
export { createMembers, type MembersOptions } from "./createMembers";
export type { Member, Members } from "./members";
