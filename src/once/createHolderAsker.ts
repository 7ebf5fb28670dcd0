import { pause } from "../clock";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { TaskEnd } from "../tasks";
import { askAnswerSchema, topics } from "./messages";
import { onceEnds } from "./onceEnds";

export interface HolderAskerOptions {
    readonly peers: Peers;
    readonly members: Members;
    /** How long a question waits at the holder for the end, in milliseconds. */
    readonly askWaitMs: number;
    /** How long a holder may stay out of reach before the outcome counts as unknown, in milliseconds. */
    readonly unreachableMs: number;
}

/** What is asked for: the attempt that holds a claim, or the run of a ticket at its home. */
export interface Question {
    readonly boot: string;
    readonly hash: string;
    readonly number?: number;
}

/** Room for the question's way, in milliseconds. */
const wayMs = 2000;
const retryPauseMs = 200;

/** Asks the boot that holds a claim for the end of its run, for as long as the run is under way. */
export function createHolderAsker(opts: HolderAskerOptions) {
    const { peers, members } = opts;

    /** One question; `undefined` where no answer came. */
    async function askOnce({ boot, hash, number }: Question) {
        const body = { hash, waitMs: opts.askWaitMs, ...number === undefined ? {} : { number } };
        const answer = await peers.request(boot, topics.ask, body, opts.askWaitMs + wayMs);
        return askAnswerSchema.safeParse(answer.orDefault(undefined)).data;
    }

    return async function askHolder(question: Question, signal: AbortSignal): Promise<TaskEnd> {
        let heardAtMs = performance.now();
        while (!signal.aborted) {
            if (members.hasEnded(question.boot)) {
                return onceEnds.holderLost("the entry that took this key has ended; the task may have run");
            }
            const answer = await askOnce(question);
            switch (answer?.kind) {
                case "ended":
                    return answer.end as TaskEnd;
                case "unseen":
                    return onceEnds.holderLost("the entry that took this key no longer knows how the task ended");
                case "running":
                    heardAtMs = performance.now();
                    break;
                case undefined:
                    if (performance.now() - heardAtMs > opts.unreachableMs) {
                        return onceEnds.holderLost(
                            "the entry that took this key does not answer; the task may have run",
                        );
                    }
                    await pause(retryPauseMs);
                    break;
            }
        }
        return onceEnds.holderLost("the caller went away before the outcome was known");
    };
}

export type AskHolder = ReturnType<typeof createHolderAsker>;
