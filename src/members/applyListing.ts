import type { InstanceStatus } from "../platform";
import type { Member } from "./members";

/**
 * Marks the members whose instance is listed, and leaves out those that `absent` names and that were listed before.
 * Gives the same array where nothing changes. The list lags: a new entry may not be listed yet, and is never left out
 * for that.
 */
export function applyListing(
    members: readonly Member[],
    listing: ReadonlyMap<string, InstanceStatus>,
    absent: ReadonlySet<string>,
): readonly Member[] {
    const kept = members.filter((member) => !(member.listed && absent.has(member.boot)));
    const marked = kept.map((member) =>
        !member.listed && listing.has(member.instance) ? { ...member, listed: true } : member
    );
    const isSame = marked.length === members.length && marked.every((member, at) => member === members[at]);
    return isSame ? members : marked;
}
