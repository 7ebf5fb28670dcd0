import { z } from "zod";

/**
 * Topics of the messages between entries. An allocator is the entry that writes a shard's ledger; a holder is a boot
 * with slices. Every entry is a holder, and may be the allocator of some shards.
 */
export const limitTopics = {
    /** A holder reports to the allocator what it uses, which demand waits, and what it releases. */
    holding: "limits/holding",
    /** An allocator asks holders to release capacity. */
    ask: "limits/ask",
    /** An allocator sends a holder the slices that the ledger records for it. */
    slices: "limits/slices",
    /** An allocator that cannot write the ledger promises that it will never write a given release. */
    void: "limits/void",
    /** An allocator lists holders with free capacity while the ledger cannot be written. */
    rooms: "limits/rooms",
} as const;

const amount = z.number().int().nonnegative();
const name = z.string().max(256);

export const unitsSchema = z.object({
    tasks: amount,
    milliProcessors: amount,
    memoryMb: amount,
    accelerators: amount,
});

const shard = z.number().int().nonnegative().max(63);

const reportSchema = z.object({
    used: unitsSchema,
    /** Sum of the sizes of the tasks that wait for capacity of the limit. */
    waiting: unitsSchema,
    /** The largest of these sizes, separately in each dimension. */
    next: unitsSchema,
    /** Amount that the holder may use now. */
    held: unitsSchema,
});
export type TeamReport = z.infer<typeof reportSchema>;

/**
 * Lowers the holder's slices to `keeps`. The holder stays within `keeps` from the moment that the release is sent,
 * whether or not it arrives.
 */
const releaseSchema = z.object({
    number: z.number().int().positive(),
    keeps: z.record(name, unitsSchema),
});
export type Release = z.infer<typeof releaseSchema>;

export const holdingSchema = z.object({
    shard,
    /** Latest ledger revision that the holder has applied. */
    revision: amount,
    leaseMs: amount,
    isLeaving: z.boolean(),
    reports: z.record(name, reportSchema),
    release: releaseSchema.optional(),
});
export type HoldingMessage = z.infer<typeof holdingSchema>;

const askSchema = z.object({
    /** Amount to release from what is free. */
    give: unitsSchema,
    /** Amount that the holder is to shrink to as its tasks end. Absent if it need not shrink. */
    ceiling: unitsSchema.optional(),
});
export type TeamAsk = z.infer<typeof askSchema>;

export const askMessageSchema = z.object({ shard, teams: z.record(name, askSchema) });
export type AskMessage = z.infer<typeof askMessageSchema>;

export const slicesSchema = z.object({
    shard,
    revision: amount,
    /** Number of the holder's latest release that the ledger includes. */
    releaseNumber: amount,
    slices: z.record(name, unitsSchema),
});
export type SlicesMessage = z.infer<typeof slicesSchema>;

export const voidSchema = z.object({ shard, number: amount });
export type VoidMessage = z.infer<typeof voidSchema>;

export const roomsSchema = z.object({
    team: name,
    rooms: z.array(z.object({ boot: name, room: unitsSchema })).max(256),
});
export type RoomsMessage = z.infer<typeof roomsSchema>;
