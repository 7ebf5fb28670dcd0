import type { InstanceStatus } from "../platform";
import type { Member } from "./members";

/**
 * Marks the members whose instance is in the listing, and removes the members in `absent` that were listed before.
 * Returns the same array if nothing changes. The listing lags: a new entry may not be listed yet and is not removed for
 * that reason.
 */
export function applyListing(
    members: readonly Member[],
    listing: ReadonlyMap<string, InstanceStatus>,
    absent: ReadonlySet<string>,
): readonly Member[] {
    const remaining = members.filter((member) => !(member.listed && absent.has(member.boot)));
    const marked = remaining.map((member) =>
        !member.listed && listing.has(member.instance) ? { ...member, listed: true } : member
    );
    const isUnchanged = marked.length === members.length && marked.every((member, index) => member === members[index]);
    return isUnchanged ? members : marked;
}
