import { z } from "zod";

const maxPayloadChars = 256 * 1024;

/** A caller's task as it arrives in the body of a request. */
export const taskBodySchema = z.strictObject({
    pool: z.string().min(1).max(128),
    size: z.strictObject({
        processors: z.number().positive().max(100_000),
        memoryMb: z.number().int().positive().max(1_000_000_000),
        accelerators: z.number().int().nonnegative().max(100_000).default(0),
    }),
    expectedRunMs: z.number().int().positive().max(7 * 24 * 3600 * 1000),
    /** How long the caller waits for the task to start, in milliseconds from its arrival. */
    deadlineMs: z.number().int().positive().max(24 * 3600 * 1000),
    urgent: z.boolean().default(false),
    repeatable: z.boolean(),
    idempotencyKey: z.string().min(8).max(200).optional(),
    payload: z.string().max(maxPayloadChars).default(""),
    /** True: the answer comes in this request; false: 202 with an id to ask for. */
    wait: z.boolean().default(true),
}).refine((body) => body.repeatable || body.idempotencyKey !== undefined, {
    path: ["idempotencyKey"],
    message: "a task that may not be repeated needs an idempotency key",
});
