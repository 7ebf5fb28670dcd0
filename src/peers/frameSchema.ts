import { z } from "zod";

const peerSchema = z.object({
    boot: z.string().min(1).max(128),
    instance: z.string().max(256),
    region: z.string().max(128),
    zone: z.string().max(128),
    peerUrl: z.string().max(512),
});

const topic = z.string().max(64);
const id = z.number().int();

/** Schema of the frames on a link. The module that owns a topic validates the bodies. */
export const frameSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("hello"), peer: peerSchema }),
    z.object({ kind: z.literal("heartbeat") }),
    z.object({ kind: z.literal("message"), topic, body: z.unknown() }),
    z.object({ kind: z.literal("request"), id, topic, body: z.unknown() }),
    z.object({ kind: z.literal("answer"), id, body: z.unknown() }),
    /** The request reached the peer, which could not answer it; it may have been executed in part. */
    z.object({ kind: z.literal("failure"), id, detail: z.string().max(1000) }),
]);
export type Frame = z.infer<typeof frameSchema>;
