import { z } from "zod";

/** Topics of the messages between entries. */
export const limitTopics = {
    /** A holder tells the divider what it uses, what waits, and what it gives up. */
    holding: "limits/holding",
    /** A divider asks holders for room. */
    ask: "limits/ask",
    /** A divider tells a holder what the ledger says of it. */
    slices: "limits/slices",
    /** A divider that cannot write promises that it will never write a release. */
    void: "limits/void",
    /** A divider names holders that have room while the ledger cannot be written. */
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
    /** Sum of the tasks that wait for room in the limit. */
    waiting: unitsSchema,
    /** The largest of them in each dimension. */
    next: unitsSchema,
    /** What the holder may use now. */
    held: unitsSchema,
});
export type TeamReport = z.infer<typeof reportSchema>;

/** Slices are bound by `keeps` from the moment that the release is sent, whether or not it arrives. */
const releaseSchema = z.object({
    number: z.number().int().positive(),
    keeps: z.record(name, unitsSchema),
});
export type Release = z.infer<typeof releaseSchema>;

export const holdingSchema = z.object({
    shard,
    /** Ledger revision that the holder knows. */
    revision: amount,
    leaseMs: amount,
    isLeaving: z.boolean(),
    reports: z.record(name, reportSchema),
    release: releaseSchema.optional(),
});
export type HoldingMessage = z.infer<typeof holdingSchema>;

const askSchema = z.object({
    /** Room to give up from what is free. */
    give: unitsSchema,
    /** What the holder shall come down to as its tasks end; absent where there is no need. */
    ceiling: unitsSchema.optional(),
});
export type TeamAsk = z.infer<typeof askSchema>;

export const askMessageSchema = z.object({ shard, teams: z.record(name, askSchema) });
export type AskMessage = z.infer<typeof askMessageSchema>;

export const slicesSchema = z.object({
    shard,
    revision: amount,
    /** Number of the holder's last release that the ledger has taken in. */
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
