import { type Either, Left, Right } from "purify-ts";
import type { Commit, CommitResult, Store, StoreItem } from "../store";
import { instancePrefix } from "./createRegistration";
import type { InstanceListing, KnownRevisions, Platform, PlatformFailure, StoredValue, SwapFailure } from "./platform";

export interface StorePlatformOptions {
    readonly store: Store;
    /** Largest value that the store takes, in bytes. */
    readonly maxValueBytes: number;
    /** Releases the connections to the store. */
    close(): Promise<void>;
}

/**
 * What the parts of an entry need of the platform, over the platform's store.
 *
 * All followed keys share one waiting watch, on the longest prefix that they have in common. What it tells is kept, so
 * that a key that is followed from an older revision on is answered at once.
 */
export function createStorePlatform({ store, maxValueBytes, close }: StorePlatformOptions): Platform {
    const latest = new Map<string, StoredValue>();
    let watched: { readonly prefix: string; revision: number; } | undefined;

    function take({ key, text, revision }: StoreItem): void {
        latest.set(key, { text, revision });
    }

    function newerThan(known: KnownRevisions): ReadonlyMap<string, StoredValue> {
        return new Map([...known].flatMap(([key, revision]) => {
            const stored = latest.get(key);
            return stored !== undefined && stored.revision > revision ? [[key, stored] as const] : [];
        }));
    }

    /** Reads the prefix whole; later changes are told by a watch from there. */
    async function readAll(prefix: string): Promise<PlatformFailure | undefined> {
        const result = await store.range(prefix);
        if (result.kind === "unavailable") {
            return result;
        }
        latest.clear();
        result.items.forEach(take);
        watched = { prefix, revision: result.revision };
        return undefined;
    }

    async function waitForChange(at: { revision: number; prefix: string; }, waitMs: number) {
        const result = await store.watch(at.prefix, at.revision, waitMs);
        switch (result.kind) {
            case "events":
                at.revision = result.revision;
                result.events.forEach((event) => event.kind === "put" ? take(event.item) : latest.delete(event.key));
                return undefined;
            case "compacted":
                return readAll(at.prefix);
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
                : Left({ kind: "unavailable", detail: `the removal ended as ${result.kind}` });
        },
        async watch(known, waitMs) {
            const prefix = commonPrefix([...known.keys()]);
            const failure = watched?.prefix === prefix
                ? newerThan(known).size > 0 ? undefined : await waitForChange(watched, waitMs)
                : await readAll(prefix);
            return failure === undefined ? Right(newerThan(known)) : Left(failure);
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
