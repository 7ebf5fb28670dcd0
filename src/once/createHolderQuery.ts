import { pause } from "../clock";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { TaskEnd } from "../tasks";
import { idempotencyEnds } from "./idempotencyEnds";
import { askAnswerSchema, topics } from "./messages";

export interface HolderQueryOptions {
    readonly peers: Peers;
    readonly members: Members;
    /** How long the holder may delay its answer to wait for the end (long poll), in milliseconds. */
    readonly longPollMs: number;
    /** How long a holder may be unreachable before the outcome counts as unknown, in milliseconds. */
    readonly unreachableMs: number;
}

/**
 * The attempt whose end is queried: the holder of a claim, or the run of a ticket at its issuer if `number` is missing.
 */
export interface HolderQuery {
    readonly boot: string;
    readonly hash: string;
    readonly number?: number;
}

/** Time allowed for the network round trip on top of the long poll, in milliseconds. */
const roundTripMs = 2000;
const retryDelayMs = 200;

/** Queries the boot that holds a claim for the end of its run, repeatedly until the run has ended. */
export function createHolderQuery(opts: HolderQueryOptions) {
    const { peers, members } = opts;

    /** Sends one query; returns `undefined` if no valid answer came. */
    async function sendQuery({ boot, hash, number }: HolderQuery) {
        const body = { hash, waitMs: opts.longPollMs, ...number === undefined ? {} : { number } };
        const answer = await peers.request(boot, topics.ask, body, opts.longPollMs + roundTripMs);
        return askAnswerSchema.safeParse(answer.orDefault(undefined)).data;
    }

    return async function queryHolder(query: HolderQuery, signal: AbortSignal): Promise<TaskEnd> {
        let lastAnswerAtMs = performance.now();
        while (!signal.aborted) {
            if (members.hasEnded(query.boot)) {
                return idempotencyEnds.outcomeUnknown("the entry that took this key has ended; the task may have run");
            }
            const answer = await sendQuery(query);
            switch (answer?.kind) {
                case "ended":
                    return answer.end as TaskEnd;
                case "unseen":
                    return idempotencyEnds.outcomeUnknown(
                        "the entry that took this key no longer knows how the task ended",
                    );
                case "running":
                    lastAnswerAtMs = performance.now();
                    break;
                case undefined:
                    if (performance.now() - lastAnswerAtMs > opts.unreachableMs) {
                        return idempotencyEnds.outcomeUnknown(
                            "the entry that took this key does not answer; the task may have run",
                        );
                    }
                    await pause(retryDelayMs);
                    break;
            }
        }
        return idempotencyEnds.outcomeUnknown("the caller went away before the outcome was known");
    };
}

export type QueryHolder = ReturnType<typeof createHolderQuery>;
