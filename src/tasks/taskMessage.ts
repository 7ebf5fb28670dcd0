import { z } from "zod";

/**
 * The parts of a task that every message between entries about it carries. The deadline travels as what is left of it, in
 * milliseconds, since clocks differ.
 */
export const taskMessageSchema = z.object({
    id: z.string().max(256),
    team: z.string().max(256),
    keyId: z.string().max(128).optional(),
    pool: z.string().max(128),
    size: z.object({ processors: z.number(), memoryMb: z.number(), accelerators: z.number() }),
    expectedRunMs: z.number(),
    remainingMs: z.number().nonnegative(),
    urgent: z.boolean(),
    payload: z.string(),
});
