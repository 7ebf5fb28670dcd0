import type { Peer } from "../peers";

/**
 * Ranks the peers that may relay calls: first those that have not failed, then those that failed longest ago.
 *
 * The store may refuse several entries at once. With a fixed choice, an entry whose first peers are refused too would be
 * without the store for as long as they are.
 *
 * @param failedAtMs when each peer, by its boot, last failed to relay a call; without those that have relayed one since
 */
export function rankRelays(
    selfBoot: string,
    peers: readonly Peer[],
    failedAtMs: ReadonlyMap<string, number>,
): readonly Peer[] {
    const failed = ({ boot }: Peer) => failedAtMs.get(boot) ?? 0;
    return [...peers].sort((a, b) => failed(a) - failed(b) || hashPair(selfBoot, a.boot) - hashPair(selfBoot, b.boot));
}

/** Hashes a pair of boots, so that different entries relay through different peers. */
function hashPair(selfBoot: string, boot: string): number {
    return [...`${selfBoot}${boot}`].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 65_521, 7);
}
