import type { CommitResult, LeaseResult, Store, StoreEvent, StoreItem } from "../../src/store";
import { type JsonReply, type JsonRequest, type JsonServer, serveJson } from "./serveJson";

/** Items on a page of a range; few, so that callers have to ask for more than one. */
const pageItems = 50;

interface WireTransaction {
    readonly expected?: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts?: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly deletes?: readonly string[];
}

/** Serves a client's way to the store by the protocol of the users' platform. */
export function serveStore(store: Store): Promise<JsonServer> {
    return serveJson((request) => answerStoreCall(store, request));
}

export async function answerStoreCall(store: Store, { method, path, query, body }: JsonRequest): Promise<JsonReply> {
    const lease = Number(path.slice(path.lastIndexOf("/") + 1));
    switch (`${method} ${path.replace(/\/\d+$/, "/")}`) {
        case "GET /kv-key":
            return readKey(store, query.get("key") ?? "");
        case "GET /kv-range":
            return readPage(store, query.get("prefix") ?? "", query.get("after") ?? "");
        case "GET /kv-watch":
            return watch(store, query.get("prefix") ?? "", Number(query.get("after")), Number(query.get("waitMs")));
        case "POST /kv-txn":
            return toCommitReply(await store.commit(toCommit(body as WireTransaction)));
        case "POST /kv-lease":
            return toLeaseReply(await store.grantLease(Number(body["ttlMs"])));
        case "POST /kv-keep/":
            return toLeaseReply(await store.renewLease(lease));
        case "DELETE /kv-lease-end/":
            return toLeaseReply(await store.endLease(lease));
        default:
            return { status: 404 };
    }
}

async function readKey(store: Store, key: string): Promise<JsonReply> {
    const result = await store.read(key);
    switch (result.kind) {
        case "found":
            return { status: 200, body: toWireItem(result.item) };
        case "missing":
            return { status: 404 };
        case "unavailable":
            return { status: 503 };
    }
}

async function readPage(store: Store, prefix: string, after: string): Promise<JsonReply> {
    const result = await store.range(prefix);
    if (result.kind === "unavailable") {
        return { status: 503 };
    }
    const rest = result.items.filter(({ key }) => key > after).sort((a, b) => a.key < b.key ? -1 : 1);
    const items = rest.slice(0, pageItems).map(toWireItem);
    return { status: 200, body: { items, hasMore: rest.length > pageItems, storeRevision: result.revision } };
}

async function watch(store: Store, prefix: string, after: number, waitMs: number): Promise<JsonReply> {
    const result = await store.watch(prefix, after, waitMs);
    switch (result.kind) {
        case "events":
            return { status: 200, body: { events: result.events.map(toWireEvent), storeRevision: result.revision } };
        case "compacted":
            return { status: 410 };
        case "unavailable":
            return { status: 503 };
    }
}

function toCommit({ expected = [], puts = [], deletes = [] }: WireTransaction) {
    const decoded = puts.map(({ key, value, lease }) => ({
        key,
        text: Buffer.from(value, "base64").toString(),
        lease: lease ?? 0,
    }));
    return { conditions: expected, puts: decoded, deletes };
}

function toCommitReply(result: CommitResult): JsonReply {
    switch (result.kind) {
        case "committed":
            return { status: 200, body: { revision: result.revision } };
        case "conflict":
            return { status: 412, body: { items: result.items.map(toWireItem) } };
        case "leaseEnded":
            return { status: 404 };
        case "unavailable":
            return { status: 503 };
        case "unknown":
            return "drop";
    }
}

function toLeaseReply(result: LeaseResult): JsonReply {
    switch (result.kind) {
        case "leased":
            return { status: 200, body: { lease: result.lease, ttlMs: result.ttlMs } };
        case "leaseEnded":
            return { status: 404 };
        case "unavailable":
            return { status: 503 };
    }
}

function toWireItem({ key, text, revision }: StoreItem) {
    return { key, value: Buffer.from(text).toString("base64"), revision };
}

function toWireEvent(event: StoreEvent) {
    return event.kind === "put"
        ? toWireItem(event.item)
        : { key: event.key, revision: event.revision, deleted: true };
}
