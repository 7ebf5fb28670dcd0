import type { Peer } from "../peers";
import type { InForce } from "./configuration";
import type { Heard } from "./createRelay";

export interface InForceQuery {
    readonly revision: number;
    /** The entry that answers, with its own revision. */
    readonly self: Peer;
    readonly ownRevision: number;
    /** The record of entries; `undefined` where it is not known, and then nothing is in force everywhere. */
    readonly recorded: readonly Peer[] | undefined;
    /** Entries with a link; one that started in an outage is not in the record. */
    readonly connected: readonly Peer[];
    readonly heard: ReadonlyMap<string, Heard>;
}

/** Says which entries have confirmed a revision, and which have not. */
export function findInForce(query: InForceQuery): InForce {
    const { revision, self, ownRevision, recorded, connected, heard } = query;
    const entries = new Map([self, ...recorded ?? [], ...connected].map((peer) => [peer.boot, peer]));
    const told = (boot: string) => boot === self.boot ? ownRevision : heard.get(boot)?.revision;
    const confirmed = [...entries.keys()].filter((boot) => (told(boot) ?? -1) >= revision);
    const missing = [...entries.values()].filter(({ boot }) => !confirmed.includes(boot)).map((peer) => ({
        instance: peer.instance,
        boot: peer.boot,
        zone: peer.zone,
        lastHeardAtMs: peer.boot === self.boot ? Date.now() : heard.get(peer.boot)?.atMs,
        revision: told(peer.boot),
    }));
    return { revision, everywhere: recorded !== undefined && missing.length === 0, confirmed, missing };
}
