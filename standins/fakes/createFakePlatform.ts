import { type Either, Left, Right } from "purify-ts";
import type {
    InstanceListing,
    InstanceStatus,
    KnownRevisions,
    Platform,
    PlatformFailure,
    StoredValue,
    SwapFailure,
} from "../../src/platform";

/** The service's memory, which several clients share, with the faults that a test switches on. */
export interface FakePlatform {
    readonly values: Map<string, StoredValue>;
    readonly instances: Map<string, InstanceStatus>;
    readonly calls: { read: number; write: number; watch: number; list: number; };
    /** No client is answered. */
    isDown: boolean;
    /** One way of each call, in milliseconds. */
    delayMs: number;
    /** Clients that are cut off. */
    readonly cutOff: Set<string>;
    /** The answers of this many writes are lost after they took effect. */
    lostWriteAnswers: number;
    /** This many writes are lost on their way: they have no effect and no answer. */
    lostWrites: number;
    /** This many writes take effect only after their client has given up waiting for the answer. */
    lateWrites: number;
    /** Clients whose watches tell of a change only this much later. */
    readonly lateWatches: Set<string>;
    /** What the instance list goes on to tell, where it lags. */
    staleInstances: ReadonlyMap<string, InstanceStatus> | undefined;
    /** Called with each write that took effect. */
    onWrite: (client: string, key: string, text: string) => void;
    /** The service as one client sees it. */
    connect(client: string): Platform;
}

const maxValueBytes = 1024 * 1024;
const lateWatchMs = 5000;
const lateWriteMs = 400;

export function createFakePlatform(): FakePlatform {
    const values = new Map<string, StoredValue>();
    const watchers = new Set<() => void>();
    const fake: FakePlatform = {
        values,
        instances: new Map(),
        calls: { read: 0, write: 0, watch: 0, list: 0 },
        isDown: false,
        delayMs: 1,
        cutOff: new Set(),
        lostWriteAnswers: 0,
        lostWrites: 0,
        lateWrites: 0,
        lateWatches: new Set(),
        staleInstances: undefined,
        onWrite: () => {},
        connect,
    };

    function sleep(ms: number): Promise<void> {
        return new Promise((resolve) => setTimeout(resolve, ms));
    }

    function isUnreachable(client: string): boolean {
        return fake.isDown || fake.cutOff.has(client);
    }

    function connect(client: string): Platform {
        async function exchange<T>(answer: () => T): Promise<Either<PlatformFailure, T>> {
            await sleep(fake.delayMs);
            if (isUnreachable(client)) {
                return Left({ kind: "unavailable", detail: "down" });
            }
            const result = answer();
            await sleep(fake.delayMs);
            return isUnreachable(client) ? Left({ kind: "unavailable", detail: "answer lost" }) : Right(result);
        }

        async function swap(key: string, expected: number, text: string): Promise<Either<SwapFailure, number>> {
            await sleep(fake.delayMs);
            if (isUnreachable(client)) {
                return Left({ kind: "unavailable", detail: "down" });
            }
            fake.calls.write++;
            if (fake.lostWrites > 0) {
                fake.lostWrites--;
                return Left({ kind: "unknown", detail: "no answer" });
            }
            if (fake.lateWrites > 0) {
                fake.lateWrites--;
                setTimeout(() => void apply(client, key, expected, text), lateWriteMs);
                return Left({ kind: "unknown", detail: "no answer" });
            }
            const written = apply(client, key, expected, text);
            await sleep(fake.delayMs);
            if (isUnreachable(client)) {
                return Left({ kind: "unknown", detail: "answer lost" });
            }
            if (written.isRight() && fake.lostWriteAnswers > 0) {
                fake.lostWriteAnswers--;
                return Left({ kind: "unknown", detail: "answer lost" });
            }
            return written;
        }

        async function watch(known: KnownRevisions, waitMs: number) {
            const endAtMs = Date.now() + waitMs;
            fake.calls.watch++;
            for (;;) {
                const changes = new Map([...known].flatMap(([key, revision]) => {
                    const stored = values.get(key);
                    return stored !== undefined && stored.revision > revision ? [[key, stored] as const] : [];
                }));
                if (isUnreachable(client)) {
                    await sleep(fake.delayMs);
                    return Left<PlatformFailure>({ kind: "unavailable", detail: "down" });
                }
                if (changes.size > 0 || Date.now() >= endAtMs) {
                    await sleep(fake.lateWatches.has(client) ? lateWatchMs : fake.delayMs);
                    return Right(changes);
                }
                await waitForWrite(endAtMs - Date.now());
            }
        }

        return {
            read: (key) => {
                fake.calls.read++;
                return exchange(() => values.get(key));
            },
            compareAndSwap: swap,
            remove: (key) => {
                fake.calls.write++;
                return exchange(() => void values.delete(key));
            },
            watch,
            listInstances: () => {
                fake.calls.list++;
                return exchange((): readonly InstanceListing[] =>
                    [...fake.staleInstances ?? fake.instances].map(([instance, status]) => ({ instance, status }))
                );
            },
            close: () => Promise.resolve(),
        };
    }

    function apply(client: string, key: string, expected: number, text: string): Either<SwapFailure, number> {
        const written = writeValue(key, expected, text);
        if (written.isRight()) {
            fake.onWrite(client, key, text);
            [...watchers].forEach((wake) => wake());
        }
        return written;
    }

    function waitForWrite(ms: number): Promise<void> {
        return new Promise((resolve) => {
            const wake = () => {
                clearTimeout(timer);
                watchers.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, ms);
            watchers.add(wake);
        });
    }

    function writeValue(key: string, expected: number, text: string): Either<SwapFailure, number> {
        const current = values.get(key);
        if ((current?.revision ?? 0) !== expected) {
            return Left({ kind: "conflict", current });
        }
        if (Buffer.byteLength(text) > maxValueBytes) {
            return Left({ kind: "tooLarge", sizeBytes: Buffer.byteLength(text) });
        }
        values.set(key, { text, revision: expected + 1 });
        return Right(expected + 1);
    }

    return fake;
}
