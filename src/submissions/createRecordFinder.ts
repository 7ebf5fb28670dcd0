import type { ReadResult, Store } from "../store";
import { decodeRecord, isTombstone } from "./record";

/** `cancelledBefore`: a cancellation came before the submission was stored. */
export type FindResult = "found" | "cancelledBefore" | "missing" | "noAnswer";

/** Finds out whether a submission has a record, with bounded load on the store. */
export interface RecordFinder {
    find(key: string): Promise<FindResult>;
}

/** Most reads in flight: a quarter of the connections to the store. Accepted submissions need the others. */
const maxReads = 4;

/** Most keys that wait for a read. At 4 ms an answer, the last of them is read after 0.1 s. */
const maxWaiting = 100;

/** A key without an answer for this long is given up, in milliseconds: refusals have to be immediate. */
const overdueMs = 200;

interface Wait {
    readonly key: string;
    readonly settle: (result: FindResult) => void;
    isSettled: boolean;
}

export function createRecordFinder(store: Pick<Store, "read">): RecordFinder {
    const waiting: Wait[] = [];
    let reads = 0;

    async function read({ key, settle }: Wait): Promise<void> {
        reads++;
        const result = await store.read(key);
        reads--;
        settle(toFindResult(result));
        readNext();
    }

    function readNext(): void {
        while (reads < maxReads && waiting.length > 0) {
            const next = waiting.shift();
            if (next !== undefined && !next.isSettled) {
                void read(next);
            }
        }
    }

    return {
        find(key) {
            if (waiting.length >= maxWaiting) {
                return Promise.resolve("noAnswer");
            }
            return new Promise((resolve) => {
                const wait: Wait = {
                    key,
                    settle(result) {
                        wait.isSettled = true;
                        clearTimeout(timer);
                        resolve(result);
                    },
                    isSettled: false,
                };
                const timer = setTimeout(() => wait.settle("noAnswer"), overdueMs);
                waiting.push(wait);
                readNext();
            });
        },
    };
}

function toFindResult(result: ReadResult): FindResult {
    switch (result.kind) {
        case "found":
            return isTombstone(decodeRecord(result.item.text)) ? "cancelledBefore" : "found";
        case "missing":
            return "missing";
        case "unavailable":
            return "noAnswer";
    }
}
