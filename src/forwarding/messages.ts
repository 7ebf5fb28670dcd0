import { z } from "zod";
import { endSchema } from "../once";
import { type TaskEnd, taskMessageSchema } from "../tasks";

/** Topics of the messages between entries about forwarded tasks. */
export const forwardingTopics = { run: "forwarding/run", cancel: "forwarding/cancel" } as const;

/** A task that is forwarded to an entry with free capacity. */
export const runSchema = taskMessageSchema.extend({ repeatable: z.boolean() });
export type RunMessage = z.infer<typeof runSchema>;

export const cancelSchema = z.object({ id: z.string().max(256) });

/** Answer to a forwarded task; `noRoom` means that the receiver did not accept the task and will not run it. */
export const runAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("noRoom") }),
    z.object({ kind: z.literal("ended"), end: endSchema }),
]);

export type RunAnswer =
    | { readonly kind: "noRoom"; }
    | { readonly kind: "ended"; readonly end: TaskEnd; };
