import type { Platform, StoredValue } from "../platform";
import type { BucketSettings } from "./bucketSettings";
import { type BucketHead, type ClaimRequest, emptyHead, extendHead, parseHead, parseSegment } from "./claimValue";
import { type ClaimIndex, createClaimIndex } from "./createClaimIndex";

/**
 * How one write went.
 *
 * - `moved`: another home wrote first; decide again on what is there now.
 * - `lost`: the answer was lost; read again, the write may have taken effect or may still do so.
 */
export type WriteResult = "written" | "moved" | "lost" | "unavailable" | "full";

/** One bucket's value with its sealed segments, as this entry last saw them. */
export interface BucketStore {
    readonly index: ClaimIndex;
    /** When the bucket was last read or written, in milliseconds of this entry's clock. */
    seenAtMs(): number;
    /** Reads the head and the sealed segments not loaded yet; gives false where that failed. */
    read(): Promise<boolean>;
    /** Adds claims by compare-and-swap against the head that was last seen. */
    write(claims: readonly ClaimRequest[], marks: readonly string[]): Promise<WriteResult>;
}

export interface BucketStoreOptions {
    readonly platform: Platform;
    readonly settings: BucketSettings;
    readonly bucket: number;
}

const openName = "open";

export function createBucketStore(opts: BucketStoreOptions): BucketStore {
    const { platform, settings } = opts;
    const headKey = `samphirepin/claims/${opts.bucket}`;
    const index = createClaimIndex();
    let head: BucketHead = emptyHead;
    let revision = 0;
    let seenAt = -Infinity;

    function slotKey(slot: number): string {
        return `${headKey}/${slot}`;
    }

    /** Takes a head in; false where it or one of its segments cannot be read now. */
    async function adopt(stored: StoredValue | undefined): Promise<boolean> {
        seenAt = -Infinity;
        if ((stored?.revision ?? 0) < revision) {
            return false;
        }
        const next = stored === undefined ? emptyHead : parseHead(stored.text);
        if (next === undefined || !(await loadSegments(next))) {
            return false;
        }
        head = next;
        revision = stored?.revision ?? 0;
        index.put(openName, next);
        seenAt = Date.now();
        return true;
    }

    async function loadSegments(next: BucketHead): Promise<boolean> {
        const wanted = new Map(next.sealed.map((sealed) => [segmentName(sealed), sealed.slot]));
        index.names().filter((name) => name !== openName && !wanted.has(name)).forEach((name) => index.remove(name));
        for (const [name, slot] of wanted) {
            if (index.has(name)) {
                continue;
            }
            const read = await platform.read(slotKey(slot));
            const segment = parseSegment(read.orDefault(undefined)?.text ?? "");
            if (segment === undefined) {
                return false;
            }
            index.put(name, segment);
        }
        return true;
    }

    function withoutExpired(current: BucketHead): BucketHead {
        const keptSinceMs = Date.now() - settings.retentionMs;
        return { ...current, sealed: current.sealed.filter(({ sealedAtMs }) => sealedAtMs >= keptSinceMs) };
    }

    /**
     * Moves the open segment into a free slot. The slot is written against the revision that the head records for it:
     * a home that was paused since would otherwise overwrite a segment that a newer head names, and the claims in
     * it would be forgotten. What is written depends on the head alone, so that another home that seals at the same
     * time writes the same text.
     */
    async function seal(current: BucketHead): Promise<BucketHead | WriteResult> {
        const used = new Set(current.sealed.map(({ slot }) => slot));
        const slot = Array.from({ length: settings.slots }, (_, at) => at).find((at) => !used.has(at));
        if (slot === undefined) {
            return "full";
        }
        const text = JSON.stringify({ boots: current.boots, records: current.records });
        const known = current.slotRevisions[slot] ?? 0;
        const written = await writeSlot(slot, known, text);
        if (typeof written === "string") {
            return written;
        }
        const slotRevisions = Array.from(
            { length: Math.max(current.slotRevisions.length, slot + 1) },
            (_, at) => at === slot ? written : current.slotRevisions[at] ?? 0,
        );
        const sealed = [...current.sealed, { slot, sealedAtMs: Date.now() }];
        return { boots: [], records: [], sealed, slotRevisions };
    }

    async function writeSlot(slot: number, expected: number, text: string): Promise<number | WriteResult> {
        const written = await platform.compareAndSwap(slotKey(slot), expected, text);
        if (written.isRight()) {
            return written.orDefault(0);
        }
        const failure = written.swap().unsafeCoerce();
        if (failure.kind !== "conflict") {
            return failure.kind === "unavailable" ? "unavailable" : "lost";
        }
        if (failure.current?.text === text) {
            return failure.current.revision;
        }
        // A home that died between the slot and the head left its text here, unless the head has moved on.
        const fresh = await platform.read(headKey);
        const isSameHead = fresh.isRight() && (fresh.orDefault(undefined)?.revision ?? 0) === revision;
        if (!isSameHead || failure.current === undefined) {
            return "moved";
        }
        const again = await platform.compareAndSwap(slotKey(slot), failure.current.revision, text);
        return again.isRight() ? again.orDefault(0) : "moved";
    }

    async function swapHead(next: BucketHead): Promise<WriteResult> {
        const written = await platform.compareAndSwap(headKey, revision, JSON.stringify(next));
        return written.caseOf<WriteResult | Promise<WriteResult>>({
            Right(newRevision) {
                adoptOwn(next, newRevision);
                return "written";
            },
            Left(failure) {
                switch (failure.kind) {
                    case "conflict":
                        return adopt(failure.current).then((isRead) => isRead ? "moved" : "unavailable");
                    case "unavailable":
                        return "unavailable";
                    case "unknown":
                        return "lost";
                    case "tooLarge":
                        return "full";
                }
            },
        });
    }

    function adoptOwn(next: BucketHead, newRevision: number): void {
        const kept = new Set(next.sealed.map(segmentName));
        index.names().filter((name) => name !== openName && !kept.has(name)).forEach((name) => index.remove(name));
        const added = next.sealed.map(segmentName).find((name) => !index.has(name));
        if (added !== undefined) {
            index.put(openName, next);
            index.put(added, head);
        }
        else {
            index.put(openName, next);
        }
        head = next;
        revision = newRevision;
        seenAt = Date.now();
    }

    return {
        index,
        seenAtMs: () => seenAt,
        async read() {
            const read = await platform.read(headKey);
            return read.isRight() && adopt(read.orDefault(undefined));
        },
        async write(claims, marks) {
            const current = withoutExpired(head);
            const extended = extendHead(current, claims, marks);
            if (JSON.stringify(extended).length <= settings.sealBytes || current.records.length === 0) {
                return swapHead(extended);
            }
            const sealed = await seal(current);
            return typeof sealed === "string" ? sealed : swapHead(extendHead(sealed, claims, marks));
        },
    };
}

function segmentName({ slot, sealedAtMs }: { readonly slot: number; readonly sealedAtMs: number; }): string {
    return `${slot}@${sealedAtMs}`;
}
