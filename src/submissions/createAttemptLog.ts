import { lateWriteMs } from "./record";

/** Remembers the submissions that entries have tried to write and that may be in the store, or may still get there. */
export interface AttemptLog {
    begin(id: string): void;
    /** @param mayBeStored false if the write is known not to be in the store, now and later */
    end(id: string, mayBeStored: boolean): void;
    /** Another entry has tried to write it, and may not have had an answer. */
    recordElsewhere(id: string): void;
    /** True while an attempt is in progress, and for `lateWriteMs` after one that may have been stored. */
    mayBeStored(id: string): boolean;
}

export function createAttemptLog(nowMs: () => number): AttemptLog {
    const open = new Map<string, number>();
    /** Ends of attempts, oldest first. */
    const endedAtMs = new Map<string, number>();

    function forgetOld(): void {
        for (const [id, atMs] of endedAtMs) {
            if (nowMs() - atMs < lateWriteMs) {
                return;
            }
            endedAtMs.delete(id);
        }
    }

    function remember(id: string): void {
        endedAtMs.delete(id);
        endedAtMs.set(id, nowMs());
    }

    return {
        begin: (id) => void open.set(id, (open.get(id) ?? 0) + 1),
        end(id, mayBeStored) {
            const count = (open.get(id) ?? 0) - 1;
            if (count > 0) {
                open.set(id, count);
            }
            else {
                open.delete(id);
            }
            if (mayBeStored) {
                remember(id);
            }
            forgetOld();
        },
        recordElsewhere(id) {
            remember(id);
            forgetOld();
        },
        mayBeStored(id) {
            forgetOld();
            return open.has(id) || endedAtMs.has(id);
        },
    };
}
