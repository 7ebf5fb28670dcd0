import type { TaskEnd } from "../tasks";
import type { Holder } from "./claimValue";

/** One key's run at this boot, from its admission to its end. */
export interface Run {
    readonly hash: string;
    /** This boot's number for the attempt. */
    readonly number: number;
    readonly fingerprint: string;
    /** Set once the claim is asked for; a claim that was asked for may stand at the platform. */
    isClaimSent: boolean;
    isGranted: boolean;
    /** The attempt that holds the key instead of this one. */
    takenBy: (Holder & { readonly fingerprint: string; readonly isNotRun: boolean; }) | undefined;
    end: TaskEnd | undefined;
    readonly ended: Promise<TaskEnd>;
    finish(end: TaskEnd): void;
}

/** How the run ended: at once where it has, and with what is still kept of it. */
export async function waitForEnd(run: Run): Promise<TaskEnd> {
    return run.end ?? run.ended;
}

export interface MemoryOptions {
    /** Most runs that are remembered; the oldest that have ended are forgotten first. */
    readonly maxRuns: number;
    /** Most bytes of answers that are remembered. */
    readonly maxAnswerBytes: number;
    /** How long the end of a run is remembered, in milliseconds. */
    readonly keptMs: number;
    /**
     * False where this memory is all that stops a second run: then no run is forgotten before its time, and new ones
     * are turned away instead.
     */
    readonly mayForgetEarly: boolean;
    /** What is said of a run whose answer is no longer kept. */
    readonly forgottenAnswer: TaskEnd;
}

/** What this boot knows of the keys that it handled, bounded in count, bytes and age. */
export interface Memory {
    findByHash(hash: string): Run | undefined;
    findByNumber(number: number): Run | undefined;
    /** Gives `undefined` where as many runs as may be remembered are under way. */
    begin(hash: string, fingerprint: string): Run | undefined;
    /** Keeps the end for later requests with the key; those that wait now are told `told`. */
    finish(run: Run, end: TaskEnd, told?: TaskEnd): void;
    /** Lets the key be sent again, while the run is still found by its number. */
    release(run: Run): void;
    /** Ends a run of which nothing has to be known, so that the key may be sent again. */
    discard(run: Run, end: TaskEnd): void;
    size(): number;
    answerBytes(): number;
}

export function createMemory(opts: MemoryOptions): Memory {
    const byNumber = new Map<number, Run>();
    const byHash = new Map<string, Run>();
    /** Ended runs in the order of their ends. */
    const endedAtMs = new Map<number, number>();
    let nextNumber = 1;
    let bytes = 0;

    function sizeOf(run: Run): number {
        return run.end?.kind === "answered" ? run.end.body.length : 0;
    }

    function forget(run: Run): void {
        byNumber.delete(run.number);
        endedAtMs.delete(run.number);
        bytes -= sizeOf(run);
        if (byHash.get(run.hash) === run) {
            byHash.delete(run.hash);
        }
    }

    function forgetOldest(): boolean {
        const oldest = endedAtMs.keys().next();
        const run = oldest.done === true ? undefined : byNumber.get(oldest.value);
        if (run !== undefined) {
            forget(run);
        }
        return run !== undefined;
    }

    /** Ages are told by the monotonic clock: were the time of day set back, a used ticket could be valid again. */
    function trim(): void {
        const keptSinceMs = performance.now() - opts.keptMs;
        for (const [number, atMs] of endedAtMs) {
            const run = byNumber.get(number);
            if (run === undefined || atMs >= keptSinceMs) {
                break;
            }
            forget(run);
        }
        dropAnswers();
    }

    /** Drops the oldest answers, but not that their runs have been, until the rest fits. */
    function dropAnswers(): void {
        for (const number of endedAtMs.keys()) {
            if (bytes <= opts.maxAnswerBytes) {
                return;
            }
            const run = byNumber.get(number);
            if (run?.end?.kind === "answered") {
                bytes -= sizeOf(run);
                run.end = opts.forgottenAnswer;
            }
        }
    }

    return {
        findByHash: (hash) => byHash.get(hash),
        findByNumber: (number) => byNumber.get(number),
        begin(hash, fingerprint) {
            trim();
            if (byNumber.size >= opts.maxRuns && !(opts.mayForgetEarly && forgetOldest())) {
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
                isClaimSent: false,
                isGranted: false,
                takenBy: undefined,
                end: undefined,
                ended,
                finish,
            };
            byNumber.set(run.number, run);
            byHash.set(hash, run);
            return run;
        },
        finish(run, end, told = end) {
            run.end = end;
            bytes += sizeOf(run);
            endedAtMs.set(run.number, performance.now());
            run.finish(told);
            trim();
        },
        release(run) {
            if (byHash.get(run.hash) === run) {
                byHash.delete(run.hash);
            }
        },
        discard(run, end) {
            forget(run);
            run.end = end;
            run.finish(end);
        },
        size: () => byNumber.size,
        answerBytes: () => bytes,
    };
}
