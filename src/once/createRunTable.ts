import type { TaskEnd } from "../tasks";
import type { Holder } from "./claimValue";

/** One attempt to run a key at this boot, from its admission on. */
export interface Run {
    readonly hash: string;
    /** Number of the attempt, unique within this boot. */
    readonly number: number;
    readonly fingerprint: string;
    /**
     * Whether the claim has been requested; a requested claim may be durable on the platform even if no answer came.
     */
    isClaimRequested: boolean;
    isGranted: boolean;
    /** The other attempt that holds the key, if this one's claim was rejected. */
    takenBy: (Holder & { readonly fingerprint: string; readonly isNotRun: boolean; }) | undefined;
    end: TaskEnd | undefined;
    readonly ended: Promise<TaskEnd>;
    resolveEnded(end: TaskEnd): void;
}

/**
 * Waits for the end of the run. If it has ended, returns the stored end, from which the answer may have been evicted.
 */
export async function waitForEnd(run: Run): Promise<TaskEnd> {
    return run.end ?? run.ended;
}

export interface RunTableOptions {
    /** Maximum number of runs kept; the runs that ended first are evicted first. */
    readonly maxRuns: number;
    /** Maximum total length of the answers kept, in characters. */
    readonly maxAnswerBytes: number;
    /** How long an ended run is kept, in milliseconds. */
    readonly retentionMs: number;
    /**
     * Whether a run may be evicted before its retention is over. Must be false if this table alone prevents a second
     * run of a key; new runs are then refused while the table is full.
     */
    readonly mayEvictEarly: boolean;
    /** End that replaces the end of a run whose answer was evicted. */
    readonly evictedAnswerEnd: TaskEnd;
}

/** Runs of the keys that this boot has handled, bounded in number, length of answers and age. */
export interface RunTable {
    findByHash(hash: string): Run | undefined;
    findByNumber(number: number): Run | undefined;
    /** Adds a run; returns `undefined` if the table is full and no run may be evicted. */
    begin(hash: string, fingerprint: string): Run | undefined;
    /** Stores the end for later requests with the key; requests that wait for it now get `endForWaiting`. */
    finish(run: Run, end: TaskEnd, endForWaiting?: TaskEnd): void;
    /** Allows a new run of the key; this run can still be found by its number. */
    release(run: Run): void;
    /** Ends and removes a run whose end need not be kept; allows a new run of the key. */
    discard(run: Run, end: TaskEnd): void;
    size(): number;
    answerBytes(): number;
}

export function createRunTable(opts: RunTableOptions): RunTable {
    const byNumber = new Map<number, Run>();
    const byHash = new Map<string, Run>();
    /** End times of ended runs by number, in the order in which they ended. */
    const endedAtMs = new Map<number, number>();
    let nextNumber = 1;
    let answerChars = 0;

    function answerCharsOf(run: Run): number {
        return run.end?.kind === "answered" ? run.end.body.length : 0;
    }

    function remove(run: Run): void {
        byNumber.delete(run.number);
        endedAtMs.delete(run.number);
        answerChars -= answerCharsOf(run);
        if (byHash.get(run.hash) === run) {
            byHash.delete(run.hash);
        }
    }

    function evictOldest(): boolean {
        const oldest = endedAtMs.keys().next();
        const run = oldest.done === true ? undefined : byNumber.get(oldest.value);
        if (run !== undefined) {
            remove(run);
        }
        return run !== undefined;
    }

    /**
     * Removes expired runs. Ages are measured by the monotonic clock: if the wall clock were used and set back, a used
     * ticket could be valid again.
     */
    function removeExpired(): void {
        const oldestKeptAtMs = performance.now() - opts.retentionMs;
        for (const [number, atMs] of endedAtMs) {
            const run = byNumber.get(number);
            if (run === undefined || atMs >= oldestKeptAtMs) {
                break;
            }
            remove(run);
        }
        evictAnswers();
    }

    /** Evicts the oldest answers until the rest fits; the runs themselves are kept. */
    function evictAnswers(): void {
        for (const number of endedAtMs.keys()) {
            if (answerChars <= opts.maxAnswerBytes) {
                return;
            }
            const run = byNumber.get(number);
            if (run?.end?.kind === "answered") {
                answerChars -= answerCharsOf(run);
                run.end = opts.evictedAnswerEnd;
            }
        }
    }

    return {
        findByHash: (hash) => byHash.get(hash),
        findByNumber: (number) => byNumber.get(number),
        begin(hash, fingerprint) {
            removeExpired();
            if (byNumber.size >= opts.maxRuns && !(opts.mayEvictEarly && evictOldest())) {
                return undefined;
            }
            let finish: (end: TaskEnd) => void = () => {};
            const ended = new Promise<TaskEnd>((resolve) => {
                finish = resolve;
            });
            const run: Run = {
                hash,
                number: nextNumber++,
                fingerprint,
                isClaimRequested: false,
                isGranted: false,
                takenBy: undefined,
                end: undefined,
                ended,
                resolveEnded: finish,
            };
            byNumber.set(run.number, run);
            byHash.set(hash, run);
            return run;
        },
        finish(run, end, endForWaiting = end) {
            run.end = end;
            answerChars += answerCharsOf(run);
            endedAtMs.set(run.number, performance.now());
            run.resolveEnded(endForWaiting);
            removeExpired();
        },
        release(run) {
            if (byHash.get(run.hash) === run) {
                byHash.delete(run.hash);
            }
        },
        discard(run, end) {
            remove(run);
            run.end = end;
            run.resolveEnded(end);
        },
        size: () => byNumber.size,
        answerBytes: () => answerChars,
    };
}
