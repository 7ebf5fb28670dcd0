import { z } from "zod";

const name = z.string().regex(/^[\w.-]{1,128}$/, "letters, digits, dots, dashes and underscores only");
const amount = z.number().nonnegative();
const count = z.number().int().nonnegative();
const durationMs = z.number().int().positive().max(60 * 24 * 3600 * 1000);
const size = z.strictObject({ processors: amount, memoryMb: amount, accelerators: amount.default(0) });

/** How far and how fast the work of the plan may go; the defaults suit a fleet of mixed work. */
const policySchema = z.strictObject({
    startsWithRack: z.boolean().default(true),
    maxInFlight: count.min(1).default(1000),
    stopAfterFailures: count.min(1).default(2),
    soakMs: durationMs.default(10 * 60_000),
    drainDeadlineMs: durationMs.default(60 * 60_000),
    checkpointAfterMs: durationMs.default(60_000),
    returnDeadlineMs: durationMs.default(10 * 60_000),
});

/** How long each step is taken to last in the plan's estimate. */
const assumedSchema = z.strictObject({
    drainMs: durationMs.default(60_000),
    rebootMs: durationMs.default(180_000),
    proveMs: durationMs.default(15_000),
});

/** What operators state; every part may be left out. */
export const intentSchema = z.strictObject({
    reason: z.string().max(500).default(""),
    pools: z.array(z.strictObject({
        name,
        maxUnavailable: count,
        /** Part of the budget that planned work leaves alone. */
        reserve: count.optional(),
        /** Instances that the pool shall have; others give or take. */
        instances: count.optional(),
    })).default([]),
    teams: z.array(z.strictObject({
        name,
        weight: z.number().positive(),
        limit: size.extend({ tasks: count }),
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
    moves: z.array(z.strictObject({ instance: name, to: name })).default([]),
    /** All instances and teams of some pools go over to another; the emptied pools are removed. */
    merges: z.array(z.strictObject({ from: z.array(name).min(1), into: name })).default([]),
    removePools: z.array(name).default([]),
    removeTeams: z.array(name).default([]),
    removeInstances: z.array(name).default([]),
    /** Reboots every instance of the pools, or of the whole fleet, once. */
    wave: z.strictObject({
        pools: z.array(name).min(1).optional(),
        notBefore: z.iso.datetime({ offset: true }).optional(),
        notAfter: z.iso.datetime({ offset: true }).optional(),
    }).optional(),
    policy: policySchema.prefault({}),
    assumed: assumedSchema.prefault({}),
});
export type Intent = z.infer<typeof intentSchema>;
