import type { Peer } from "../peers";
import type { InForce } from "./configuration";
import type { PeerReport } from "./createPeerSync";

export interface InForceQuery {
    readonly revision: number;
    /** The entry that evaluates this query; `ownRevision` is its revision. */
    readonly self: Peer;
    readonly ownRevision: number;
    /** Entries of the stored record; `undefined` while it is unknown, and then no revision is in force everywhere. */
    readonly recorded: readonly Peer[] | undefined;
    /** Entries with a link to this one. An entry that started during an outage of the platform is not in the record. */
    readonly connected: readonly Peer[];
    readonly lastReports: ReadonlyMap<string, PeerReport>;
}

/** Determines which entries have confirmed a revision and which have not. */
export function findInForce(query: InForceQuery): InForce {
    const { revision, self, ownRevision, recorded, connected, lastReports: reports } = query;
    const entries = new Map([self, ...recorded ?? [], ...connected].map((peer) => [peer.boot, peer]));
    const reportedRevision = (boot: string) => boot === self.boot ? ownRevision : reports.get(boot)?.revision;
    const confirmed = [...entries.keys()].filter((boot) => (reportedRevision(boot) ?? -1) >= revision);
    const missing = [...entries.values()].filter(({ boot }) => !confirmed.includes(boot)).map((peer) => ({
        instance: peer.instance,
        boot: peer.boot,
        zone: peer.zone,
        lastHeardAtMs: peer.boot === self.boot ? Date.now() : reports.get(peer.boot)?.atMs,
        revision: reportedRevision(peer.boot),
    }));
    return { revision, everywhere: recorded !== undefined && missing.length === 0, confirmed, missing };
}
