import { z } from "zod";

const name = z.string().regex(/^[\w.-]{1,128}$/, "letters, digits, dots, dashes and underscores only");
const amount = z.number().nonnegative();
const size = z.strictObject({ processors: amount, memoryMb: amount, accelerators: amount.default(0) });

/** What operators state; every part may be left out. */
export const intentSchema = z.strictObject({
    reason: z.string().max(500).default(""),
    pools: z.array(z.strictObject({ name, maxUnavailable: z.number().int().nonnegative() })).default([]),
    teams: z.array(z.strictObject({
        name,
        weight: z.number().positive(),
        limit: size.extend({ tasks: z.number().int().nonnegative() }),
        pools: z.array(name),
    })).default([]),
    instances: z.array(z.strictObject({
        name,
        url: z.url(),
        region: name,
        zone: name,
        rack: name,
        slots: z.number().int().positive(),
        capacity: size,
        pool: name,
    })).default([]),
});
export type Intent = z.infer<typeof intentSchema>;
