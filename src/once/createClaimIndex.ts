import type { Segment, StoredClaim } from "./claimValue";

/** Index of one bucket's claims by hash, and of the hashes that each segment holds. */
export interface ClaimIndex {
    find(hash: string): { readonly claim: StoredClaim; readonly isNotRun: boolean; } | undefined;
    /** Adds the claims of a segment; replaces those of an earlier segment of the same name. */
    put(name: string, segment: Segment): void;
    remove(name: string): void;
    has(name: string): boolean;
    names(): readonly string[];
    size(): number;
}

export function createClaimIndex(): ClaimIndex {
    const claims = new Map<string, StoredClaim>();
    const notRun = new Set<string>();
    const segments = new Map<string, readonly string[]>();

    function remove(name: string): void {
        for (const hash of segments.get(name) ?? []) {
            claims.delete(hash);
            notRun.delete(hash);
        }
        segments.delete(name);
    }

    return {
        find(hash) {
            const claim = claims.get(hash);
            return claim === undefined ? undefined : { claim, isNotRun: notRun.has(hash) };
        },
        put(name, { boots, records }) {
            remove(name);
            for (const record of records) {
                if (record.length === 1) {
                    notRun.add(record[0]);
                }
                else {
                    const [hash, at, number, fingerprint] = record;
                    claims.set(hash, { boot: boots[at] ?? "", number, fingerprint });
                }
            }
            segments.set(name, records.filter(({ length }) => length > 1).map(([hash]) => hash));
        },
        remove,
        has: (name) => segments.has(name),
        names: () => [...segments.keys()],
        size: () => claims.size,
    };
}
