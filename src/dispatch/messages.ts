import { z } from "zod";

/** Topic of offers: a slot has become free here and it is the receiver's turn. */
export const offerTopic = "dispatch.offer";

export const offerSchema = z.object({ pool: z.string().max(128), instance: z.string().max(128) });
