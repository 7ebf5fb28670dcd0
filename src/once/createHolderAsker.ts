import { pause } from "../clock";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { TaskEnd } from "../tasks";
import { askAnswerSchema, topics } from "./messages";
import { onceEnds } from "./onceEnds";

export interface HolderAskerOptions {
    readonly peers: Peers;
    readonly members: Members;
    /** How long the holder may delay its answer to wait for the end (long poll), in milliseconds. */
    readonly askWaitMs: number;
    /** How long a holder may be unreachable before the outcome counts as unknown, in milliseconds. */
    readonly unreachableMs: number;
}

/**
 * The attempt whose end is queried: the holder of a claim, or the run of a ticket at its issuer if `number` is missing.
 */
export interface Question {
    readonly boot: string;
    readonly hash: string;
    readonly number?: number;
}

/** Time allowed for the network round trip on top of the long poll, in milliseconds. */
const roundTripMs = 2000;
const retryDelayMs = 200;

/** Queries the boot that holds a claim for the end of its run, repeatedly until the run has ended. */
export function createHolderAsker(opts: HolderAskerOptions) {
    const { peers, members } = opts;

    /** Sends one query; returns `undefined` if no valid answer came. */
    async function sendQuery({ boot, hash, number }: Question) {
        const body = { hash, waitMs: opts.askWaitMs, ...number === undefined ? {} : { number } };
        const answer = await peers.request(boot, topics.ask, body, opts.askWaitMs + roundTripMs);
        return askAnswerSchema.safeParse(answer.orDefault(undefined)).data;
    }

    return async function queryHolder(query: Question, signal: AbortSignal): Promise<TaskEnd> {
        let lastAnswerAtMs = performance.now();
        while (!signal.aborted) {
            if (members.isGone(query.boot)) {
                return onceEnds.holderLost("the entry that took this key has ended; the task may have run");
            }
            const answer = await sendQuery(query);
            switch (answer?.kind) {
                case "ended":
                    return answer.end as TaskEnd;
                case "unseen":
                    return onceEnds.holderLost("the entry that took this key no longer knows how the task ended");
                case "running":
                    lastAnswerAtMs = performance.now();
                    break;
                case undefined:
                    if (performance.now() - lastAnswerAtMs > opts.unreachableMs) {
                        return onceEnds.holderLost(
                            "the entry that took this key does not answer; the task may have run",
                        );
                    }
                    await pause(retryDelayMs);
                    break;
            }
        }
        return onceEnds.holderLost("the caller went away before the outcome was known");
    };
}

export type AskHolder = ReturnType<typeof createHolderAsker>;
