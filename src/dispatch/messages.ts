import { z } from "zod";

/** Topic of offers: a slot that the sender used has become free, and in fair order it is the receiver's turn. */
export const offerTopic = "dispatch.offer";

export const offerSchema = z.object({ pool: z.string().max(128), instance: z.string().max(128) });
