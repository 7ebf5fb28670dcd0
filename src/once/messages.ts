import { z } from "zod";
import { taskMessageSchema } from "../tasks";

/** Topics of the messages between entries about claims, tickets and outcomes. */
export const topics = {
    claim: "once.claim",
    lookup: "once.lookup",
    mark: "once.mark",
    ask: "once.ask",
    run: "once.run",
    cancel: "once.cancel",
} as const;

const hash = z.string().min(1).max(32);
const boot = z.string().min(1).max(128);
const number = z.number().int().positive();
const fingerprint = z.string().max(16);

export const claimMessageSchema = z.object({ hash, boot, number, fingerprint });
export const lookupMessageSchema = z.object({ hash, isFresh: z.boolean() });
export const markMessageSchema = z.object({ hash, boot, number });
export const cancelMessageSchema = z.object({ hash });

const takenSchema = z.object({ kind: z.literal("taken"), boot, number, fingerprint, isNotRun: z.boolean() });
export const claimResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("granted") }),
    takenSchema,
    z.object({ kind: z.literal("unavailable") }),
    z.object({ kind: z.literal("full") }),
]);
export const lookupResultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("free") }),
    takenSchema,
    z.object({ kind: z.literal("unavailable") }),
]);

/** Asks the boot that holds a claim how the attempt ended; the answer may wait up to `waitMs` for the end. */
export const askMessageSchema = z.object({
    hash,
    number: number.optional(),
    waitMs: z.number().positive().max(60_000),
});

const problemSchema = z.object({
    code: z.string(),
    status: z.number().int(),
    title: z.string(),
    detail: z.string(),
    hint: z.string(),
    outcome: z.enum(["answered", "not run", "unknown"]),
    retryAfterSeconds: z.number().optional(),
    fields: z.array(z.object({ field: z.string(), message: z.string() })).optional(),
});
export const endSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answered"), body: z.string(), instance: z.string() }),
    z.object({ kind: z.literal("problem"), problem: problemSchema }),
]);
export const askAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("ended"), end: endSchema }),
    z.object({ kind: z.literal("running") }),
    z.object({ kind: z.literal("unseen") }),
]);
export type AskAnswer = z.infer<typeof askAnswerSchema>;

/** A task with a ticket, forwarded to the entry that issued the ticket. */
export const runMessageSchema = taskMessageSchema.extend({
    idempotencyKey: z.string().max(512),
    waitMs: z.number().positive().max(60_000),
});
