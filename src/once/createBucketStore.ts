import type { Platform, StoredValue } from "../platform";
import type { BucketSettings } from "./bucketSettings";
import { type BucketHead, type ClaimRequest, emptyHead, extendHead, parseHead, parseSegment } from "./claimValue";
import { type ClaimIndex, createClaimIndex } from "./createClaimIndex";

/**
 * Result of one write.
 *
 * - `moved`: another committer wrote first; the caller decides again from the current value.
 * - `lost`: the answer was lost; the write may have taken effect or may still do so, so the caller reads again.
 */
export type WriteResult = "written" | "moved" | "lost" | "unavailable" | "full";

/** One bucket's head and sealed segments, as this entry last read or wrote them. */
export interface BucketStore {
    readonly index: ClaimIndex;
    /**
     * When the bucket was last read or written, in milliseconds of this entry's clock; `-Infinity` if it has to be
     * read.
     */
    syncedAtMs(): number;
    /** Reads the head and those sealed segments that are not loaded yet; returns false if that failed. */
    read(): Promise<boolean>;
    /** Adds claims and marks by compare-and-swap against the head that was last read or written. */
    write(claims: readonly ClaimRequest[], marks: readonly string[]): Promise<WriteResult>;
}

export interface BucketStoreOptions {
    readonly platform: Platform;
    readonly settings: BucketSettings;
    readonly bucket: number;
}

const openSegmentName = "open";

export function createBucketStore(opts: BucketStoreOptions): BucketStore {
    const { platform, settings } = opts;
    const headKey = `samphirepin/claims/${opts.bucket}`;
    const index = createClaimIndex();
    let head: BucketHead = emptyHead;
    let revision = 0;
    let syncedAt = -Infinity;

    function slotKey(slot: number): string {
        return `${headKey}/${slot}`;
    }

    /**
     * Applies a head that was read; returns false if it is outdated, or if it or one of its segments cannot be read.
     */
    async function applyRead(stored: StoredValue | undefined): Promise<boolean> {
        syncedAt = -Infinity;
        if ((stored?.revision ?? 0) < revision) {
            return false;
        }
        const next = stored === undefined ? emptyHead : parseHead(stored.text);
        if (next === undefined || !(await loadSegments(next))) {
            return false;
        }
        head = next;
        revision = stored?.revision ?? 0;
        index.put(openSegmentName, next);
        syncedAt = Date.now();
        return true;
    }

    async function loadSegments(next: BucketHead): Promise<boolean> {
        const slotsByName = new Map(next.sealed.map((sealed) => [segmentName(sealed), sealed.slot]));
        index.names().filter((name) => name !== openSegmentName && !slotsByName.has(name)).forEach((name) =>
            index.remove(name)
        );
        for (const [name, slot] of slotsByName) {
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
        const oldestKeptAtMs = Date.now() - settings.retentionMs;
        return { ...current, sealed: current.sealed.filter(({ sealedAtMs }) => sealedAtMs >= oldestKeptAtMs) };
    }

    /**
     * Moves the open segment into a free slot. The slot is written by compare-and-swap against the revision that the
     * head records for it. Otherwise a committer that was paused meanwhile could overwrite a segment that a newer head
     * refers to, and the claims in that segment would be lost. The written text depends on the head alone, so another
     * committer that seals the same head at the same time writes the same text.
     */
    async function seal(current: BucketHead): Promise<BucketHead | WriteResult> {
        const used = new Set(current.sealed.map(({ slot }) => slot));
        const slot = Array.from({ length: settings.slotCount }, (_, at) => at).find((at) => !used.has(at));
        if (slot === undefined) {
            return "full";
        }
        const text = JSON.stringify({ boots: current.boots, records: current.records });
        const expectedRevision = current.slotRevisions[slot] ?? 0;
        const written = await writeSlot(slot, expectedRevision, text);
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
        // If the head is unchanged, the text in the slot is from a committer that died after it wrote the slot and
        // before it wrote the head, and may be overwritten.
        const currentHead = await platform.read(headKey);
        const isSameHead = currentHead.isRight() && (currentHead.orDefault(undefined)?.revision ?? 0) === revision;
        if (!isSameHead || failure.current === undefined) {
            return "moved";
        }
        const retried = await platform.compareAndSwap(slotKey(slot), failure.current.revision, text);
        return retried.isRight() ? retried.orDefault(0) : "moved";
    }

    async function swapHead(next: BucketHead): Promise<WriteResult> {
        const written = await platform.compareAndSwap(headKey, revision, JSON.stringify(next));
        return written.caseOf<WriteResult | Promise<WriteResult>>({
            Right(newRevision) {
                applyWritten(next, newRevision);
                return "written";
            },
            Left(failure) {
                switch (failure.kind) {
                    case "conflict":
                        return applyRead(failure.current).then((isRead) => isRead ? "moved" : "unavailable");
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

    function applyWritten(next: BucketHead, newRevision: number): void {
        const kept = new Set(next.sealed.map(segmentName));
        index.names().filter((name) => name !== openSegmentName && !kept.has(name)).forEach((name) =>
            index.remove(name)
        );
        const newlySealed = next.sealed.map(segmentName).find((name) => !index.has(name));
        if (newlySealed !== undefined) {
            index.put(openSegmentName, next);
            index.put(newlySealed, head);
        }
        else {
            index.put(openSegmentName, next);
        }
        head = next;
        revision = newRevision;
        syncedAt = Date.now();
    }

    return {
        index,
        syncedAtMs: () => syncedAt,
        async read() {
            const read = await platform.read(headKey);
            return read.isRight() && applyRead(read.orDefault(undefined));
        },
        async write(claims, marks) {
            const current = withoutExpired(head);
            const extended = extendHead(current, claims, marks);
            if (JSON.stringify(extended).length <= settings.sealThresholdBytes || current.records.length === 0) {
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
