import { type Either, Left, Right } from "purify-ts";
import type { Commit, CommitResult, Store, StoreItem } from "../store";
import { instancePrefix } from "./createRegistration";
import type { InstanceListing, KnownRevisions, Platform, PlatformFailure, StoredValue, SwapFailure } from "./platform";

export interface StorePlatformOptions {
    readonly store: Store;
    /** Largest value that the store accepts, in bytes. */
    readonly maxValueBytes: number;
    /** Closes the connections to the store. */
    close(): Promise<void>;
}

/**
 * Implements the platform interface on top of the platform's store.
 *
 * All watched keys share one long poll, on their longest common prefix. The values that it reports are cached, so that
 * a watch of a key from an older revision on is answered at once.
 */
export function createStorePlatform({ store, maxValueBytes, close }: StorePlatformOptions): Platform {
    const cache = new Map<string, StoredValue>();
    let watched: { readonly prefix: string; revision: number; } | undefined;

    function cacheItem({ key, text, revision }: StoreItem): void {
        cache.set(key, { text, revision });
    }

    function findNewer(known: KnownRevisions): ReadonlyMap<string, StoredValue> {
        return new Map([...known].flatMap(([key, revision]) => {
            const stored = cache.get(key);
            return stored !== undefined && stored.revision > revision ? [[key, stored] as const] : [];
        }));
    }

    /** Reads the whole prefix; a watch from the revision read then reports later changes. */
    async function readAll(prefix: string): Promise<PlatformFailure | undefined> {
        const result = await store.range(prefix);
        if (result.kind === "unavailable") {
            return result;
        }
        cache.clear();
        result.items.forEach(cacheItem);
        watched = { prefix, revision: result.revision };
        return undefined;
    }

    async function waitForChange(target: { revision: number; prefix: string; }, waitMs: number) {
        const result = await store.watch(target.prefix, target.revision, waitMs);
        switch (result.kind) {
            case "events":
                target.revision = result.revision;
                result.events.forEach((event) =>
                    event.kind === "put" ? cacheItem(event.item) : cache.delete(event.key)
                );
                return undefined;
            case "compacted":
                return readAll(target.prefix);
            case "unavailable":
                return result;
        }
    }

    return {
        async read(key) {
            const result = await store.read(key);
            switch (result.kind) {
                case "found":
                    return Right<StoredValue | undefined>({ text: result.item.text, revision: result.item.revision });
                case "missing":
                    return Right(undefined);
                case "unavailable":
                    return Left(result);
            }
        },
        async compareAndSwap(key, expectedRevision, text): Promise<Either<SwapFailure, number>> {
            const sizeBytes = Buffer.byteLength(text);
            if (sizeBytes > maxValueBytes) {
                return Left({ kind: "tooLarge", sizeBytes });
            }
            const commit: Commit = {
                conditions: [{ key, revision: expectedRevision }],
                puts: [{ key, text }],
                deletes: [],
            };
            return toSwapResult(await store.commit(commit));
        },
        async remove(key): Promise<Either<PlatformFailure, void>> {
            const result = await store.commit({ conditions: [], puts: [], deletes: [key] });
            return result.kind === "committed"
                ? Right(undefined)
                : Left({ kind: "unavailable", detail: `removing the key failed: ${result.kind}` });
        },
        async watch(known, waitMs) {
            const prefix = commonPrefix([...known.keys()]);
            const failure = watched?.prefix === prefix
                ? findNewer(known).size > 0 ? undefined : await waitForChange(watched, waitMs)
                : await readAll(prefix);
            return failure === undefined ? Right(findNewer(known)) : Left(failure);
        },
        async listInstances(): Promise<Either<PlatformFailure, readonly InstanceListing[]>> {
            const result = await store.range(instancePrefix);
            return result.kind === "unavailable"
                ? Left(result)
                : Right(
                    result.items.map(({ key }) => ({ instance: key.slice(instancePrefix.length), status: "live" })),
                );
        },
        close,
    };
}

function toSwapResult(result: CommitResult): Either<SwapFailure, number> {
    switch (result.kind) {
        case "committed":
            return Right(result.revision);
        case "conflict": {
            const [item] = result.items;
            return Left({
                kind: "conflict",
                current: item === undefined ? undefined : { text: item.text, revision: item.revision },
            });
        }
        case "leaseEnded":
            return Left({ kind: "unavailable", detail: "the lease has ended" });
        case "unavailable":
        case "unknown":
            return Left(result);
    }
}

function commonPrefix(keys: readonly string[]): string {
    const [first = "", ...others] = keys;
    let length = first.length;
    while (others.some((key) => !key.startsWith(first.slice(0, length)))) {
        length--;
    }
    return first.slice(0, length);
}
