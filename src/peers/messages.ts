import { z } from "zod";

const peerSchema = z.object({
    boot: z.string().max(128),
    instance: z.string().max(256),
    region: z.string().max(128),
    zone: z.string().max(128),
    peerUrl: z.string().max(512),
});

/** What travels on a link; the body is checked by the slice that owns the topic. */
export const frameSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("hello"), peer: peerSchema }),
    z.object({ kind: z.literal("heartbeat") }),
    z.object({ kind: z.literal("message"), topic: z.string().max(64), body: z.unknown() }),
    z.object({ kind: z.literal("request"), id: z.number().int(), topic: z.string().max(64), body: z.unknown() }),
    z.object({ kind: z.literal("answer"), id: z.number().int(), body: z.unknown() }),
]);
export type Frame = z.infer<typeof frameSchema>;
