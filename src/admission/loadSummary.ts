import { z } from "zod";

/** Peer message topic of load summaries. */
export const loadSummaryTopic = "loadSummary";

const loadSummarySchema = z.object({
    /** Fencing token of the leader that computed the summary. */
    token: z.number().int(),
    /** Pools in which a new excess submission would wait, with that wait in milliseconds. */
    pools: z.array(z.object({ pool: z.string(), excessWaitMs: z.number().nonnegative() })),
    /** Accounts whose bucket is not full, with their tokens. */
    accounts: z.array(z.object({ account: z.string(), tokens: z.number() })),
});

/** What entries need from the leader to decide on new submissions. */
export type LoadSummary = z.infer<typeof loadSummarySchema>;

/** Returns `undefined` for a message of another form, such as one of a later build. */
export function decodeLoadSummary(body: unknown): LoadSummary | undefined {
    return loadSummarySchema.safeParse(body).data;
}
