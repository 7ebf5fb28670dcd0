import { pause } from "../../src/clock";
import type {
    Commit,
    CommitResult,
    LeaseResult,
    RangeResult,
    ReadResult,
    Store,
    StoreEvent,
    StoreItem,
    WatchResult,
} from "../../src/store";

/** How the store treats the calls of one client. */
export type StoreFault =
    /** Nothing is done, and the client is told. */
    | "refused"
    /** Nothing is done and nothing is answered. */
    | "silent"
    /** Writes are done, and their answers are lost. */
    | "answerLost"
    /** Writes are done late, and their answers are lost. */
    | "late";

interface FakeItem extends StoreItem {
    readonly lease: number;
}

interface Lease {
    ttlMs: number;
    endsAtMs: number;
}

export interface FakeStore {
    /** A client's way to the store; faults are set for each client. */
    connect(client: string): Store;
    setFault(client: string, fault: StoreFault | undefined): void;
    /** Writes as the operator or a worker would. */
    put(key: string, text: string): void;
    remove(key: string): void;
    get(key: string): StoreItem | undefined;
    /** Ends all watches that wait, without an answer. */
    cutWatches(): void;
    /** Watches from before now are told that the history is gone. */
    forgetHistory(): void;
    /** Watches of a prefix are told of nothing after a revision, as by a replica that lags; `undefined` ends that. */
    holdWatches(prefix: string | undefined, atRevision?: number): void;
    /** Leases that have ended are removed; the scenario's clock calls it. */
    expireLeases(): void;
    /** Time that does not count for the leases that there are, in milliseconds, as in an outage. */
    pauseLeases(ms: number): void;
    calls(client: string): number;
    /** Reads of a whole prefix by a client. */
    rangeCalls(client: string): number;
    /** How long each call takes from now on, in milliseconds. */
    setAnswerMs(ms: number): void;
    /** Reads of a whole prefix take this much longer, as with many pages, in milliseconds. */
    slowDownRange(prefix: string, ms: number): void;
}

/** Time that a call usually takes, in milliseconds. */
const usualAnswerMs = 4;

/** A late write is carried out this much later, in milliseconds. */
const lateMs = 2500;

/** Clients give up on a call after this long, in milliseconds. */
const clientTimeoutMs = 900;

/** The platform's store in memory: revisions, conditions, watches and leases, on the runtime's clock. */
export function createFakeStore(): FakeStore {
    const items = new Map<string, FakeItem>();
    const leases = new Map<number, Lease>();
    const faults = new Map<string, StoreFault>();
    const counts = new Map<string, number>();
    const rangeCounts = new Map<string, number>();
    const rangeDelays = new Map<string, number>();
    const waiters = new Set<() => void>();
    let history: StoreEvent[] = [];
    let oldestRevision = 0;
    let revision = 10;
    let nextLease = 1;
    let cuts = 0;
    let held: { readonly prefix: string; readonly revision: number; } | undefined;
    let answerMs = usualAnswerMs;

    function write(key: string, text: string | undefined, lease = 0): void {
        if (text === undefined) {
            items.delete(key);
            history.push({ kind: "deleted", key, revision });
        }
        else {
            const item = { key, text, revision, lease };
            items.set(key, item);
            history.push({ kind: "put", item: { key, text, revision } });
        }
    }

    function wake(): void {
        [...waiters].forEach((waiter) => waiter());
    }

    function expireLeases(): void {
        for (const [lease, { endsAtMs }] of leases) {
            if (endsAtMs <= performance.now()) {
                endLease(lease);
            }
        }
    }

    function endLease(lease: number): boolean {
        const isKnown = leases.delete(lease);
        const ended = [...items.values()].filter((item) => item.lease === lease);
        if (ended.length > 0) {
            revision++;
            ended.forEach(({ key }) => write(key, undefined));
            wake();
        }
        return isKnown;
    }

    function commit({ conditions, puts, deletes }: Commit): CommitResult {
        expireLeases();
        const isMet = conditions.every((condition) => (items.get(condition.key)?.revision ?? 0) === condition.revision);
        if (!isMet) {
            const found = conditions.map(({ key }) => items.get(key)).filter((item) => item !== undefined);
            return { kind: "conflict", items: found };
        }
        if (puts.some(({ lease }) => lease !== undefined && lease !== 0 && !leases.has(lease))) {
            return { kind: "leaseEnded" };
        }
        revision++;
        puts.forEach(({ key, text, lease }) => write(key, text, lease));
        deletes.filter((key) => items.has(key)).forEach((key) => write(key, undefined));
        wake();
        return { kind: "committed", revision };
    }

    function eventsAfter(prefix: string, after: number, upTo: number): readonly StoreEvent[] {
        return history.filter((event) => {
            const [key, at] = event.kind === "put"
                ? [event.item.key, event.item.revision]
                : [event.key, event.revision];
            return at > after && at <= upTo && key.startsWith(prefix);
        });
    }

    async function call<T>(
        client: string,
        isWrite: boolean,
        run: () => T,
        failure: (fault: StoreFault) => T,
    ): Promise<T> {
        counts.set(client, (counts.get(client) ?? 0) + 1);
        await pause(answerMs / 2);
        const fault = faults.get(client);
        if (fault === undefined || (!isWrite && (fault === "answerLost" || fault === "late"))) {
            const result = run();
            await pause(answerMs / 2);
            return result;
        }
        if (fault === "answerLost") {
            run();
        }
        if (fault === "late") {
            setTimeout(run, lateMs);
        }
        await pause(fault === "refused" ? answerMs / 2 : clientTimeoutMs);
        return failure(fault);
    }

    async function watch(client: string, prefix: string, after: number, waitMs: number): Promise<WatchResult> {
        const endsAtMs = performance.now() + waitMs;
        const cutsBefore = cuts;
        for (;;) {
            if (faults.get(client) === "silent") {
                await pause(Math.max(0, endsAtMs - performance.now()) + clientTimeoutMs);
                return unavailable();
            }
            if (faults.get(client) !== undefined || cuts > cutsBefore) {
                await pause(answerMs);
                return unavailable();
            }
            if (after < oldestRevision) {
                return { kind: "compacted" };
            }
            const visibleRevision = held?.prefix === prefix ? held.revision : revision;
            const events = eventsAfter(prefix, after, visibleRevision);
            if (events.length > 0 || performance.now() >= endsAtMs) {
                return { kind: "events", events, revision: visibleRevision };
            }
            await waitForChange(endsAtMs - performance.now());
        }
    }

    function waitForChange(mostMs: number): Promise<void> {
        return new Promise((resolve) => {
            const settle = () => {
                waiters.delete(settle);
                clearTimeout(timer);
                resolve();
            };
            const timer = setTimeout(settle, mostMs);
            waiters.add(settle);
        });
    }

    return {
        connect: (client): Store => ({
            read: (key) =>
                call<ReadResult>(client, false, () => {
                    expireLeases();
                    const item = items.get(key);
                    return item === undefined ? { kind: "missing" } : { kind: "found", item };
                }, unavailable),
            async range(prefix) {
                rangeCounts.set(client, (rangeCounts.get(client) ?? 0) + 1);
                await pause(rangeDelays.get(prefix) ?? 0);
                return call<RangeResult>(client, false, () => {
                    expireLeases();
                    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix));
                    return { kind: "items", items: found, revision };
                }, unavailable);
            },
            async watch(prefix, after, waitMs) {
                counts.set(client, (counts.get(client) ?? 0) + 1);
                await pause(answerMs / 2);
                const result = await watch(client, prefix, after, waitMs);
                await pause(answerMs / 2);
                return result;
            },
            commit: (wanted) =>
                call<CommitResult>(
                    client,
                    true,
                    () => commit(wanted),
                    (fault) => fault === "refused" ? unavailable() : { kind: "unknown", detail: "no answer in time" },
                ),
            grantLease: (ttlMs) =>
                call<LeaseResult>(client, false, () => {
                    const lease = nextLease++;
                    leases.set(lease, { ttlMs, endsAtMs: performance.now() + ttlMs });
                    return { kind: "leased", lease, ttlMs };
                }, unavailable),
            renewLease: (lease) =>
                call<LeaseResult>(client, false, () => {
                    expireLeases();
                    const known = leases.get(lease);
                    if (known === undefined) {
                        return { kind: "leaseEnded" };
                    }
                    known.endsAtMs = performance.now() + known.ttlMs;
                    return { kind: "leased", lease, ttlMs: known.ttlMs };
                }, unavailable),
            endLease: (lease) =>
                call<LeaseResult>(client, false, () => {
                    return endLease(lease) ? { kind: "leased", lease, ttlMs: 0 } : { kind: "leaseEnded" };
                }, unavailable),
        }),
        setFault(client, fault) {
            if (fault === undefined) {
                faults.delete(client);
            }
            else {
                faults.set(client, fault);
            }
            wake();
        },
        put(key, text) {
            revision++;
            write(key, text);
            wake();
        },
        remove(key) {
            revision++;
            write(key, undefined);
            wake();
        },
        get: (key) => items.get(key),
        cutWatches() {
            cuts++;
            wake();
        },
        forgetHistory() {
            history = [];
            oldestRevision = revision;
            wake();
        },
        holdWatches(prefix, atRevision = revision) {
            held = prefix === undefined ? undefined : { prefix, revision: atRevision };
            wake();
        },
        expireLeases,
        pauseLeases: (ms) => leases.forEach((lease) => lease.endsAtMs += ms),
        slowDownRange: (prefix, ms) => void rangeDelays.set(prefix, ms),
        setAnswerMs: (ms) => void (answerMs = ms),
        calls: (client) => counts.get(client) ?? 0,
        rangeCalls: (client) => rangeCounts.get(client) ?? 0,
    };
}

function unavailable(): { kind: "unavailable"; detail: string; } {
    return { kind: "unavailable", detail: "the store does not answer" };
}
