/** The record of entries in the platform's service: which boots there are, and which have provably ended. */
export { createMembers, type MembersOptions } from "./createMembers";
export type { Member, Members } from "./members";
