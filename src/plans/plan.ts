import { z } from "zod";
import type { ConfirmedPlan } from "../state";
import { type Intent, intentSchema } from "./intent";

/** What the plan does to one pool. */
export interface PoolEffect {
    readonly pool: string;
    readonly instancesBefore: number;
    readonly instancesAfter: number;
    readonly slotsBefore: number;
    readonly slotsAfter: number;
    readonly maxUnavailable: number;
    readonly reserve: number;
    /** Instances that the plan takes out of service while they are in this pool. */
    readonly takenOut: number;
    /** Most that the plan has out of this pool at once. */
    readonly mostOut: number;
}

/** The answer to an intent; nothing of it is done before it is confirmed. */
export interface Plan extends ConfirmedPlan {
    readonly intent: Intent;
    /** Readable steps, in order. */
    readonly steps: readonly string[];
    readonly effects: readonly PoolEffect[];
    /** Spare slots that the plan adds (or, negative, takes) over all pools. */
    readonly bufferSlots: number;
    readonly moves: number;
    /** No plan for this intent can move fewer instances. */
    readonly fewestMoves: number;
    /** From the first step to the last, at the assumed durations. */
    readonly estimatedMs: number;
    /** What cannot be met, and why; a plan with refusals cannot be confirmed. */
    readonly refusals: readonly string[];
    /** What an operator should know before confirming. */
    readonly notes: readonly string[];
}

/** What a confirmation says of the plan that it means; the entry makes the rest again from the intent. */
export const planClaimSchema = z.object({
    id: z.string().max(128),
    madeAtRevision: z.number().int().nonnegative(),
    intent: intentSchema,
    touches: z.record(z.string(), z.string()),
    steps: z.array(z.string()).readonly(),
});
export type PlanClaim = z.infer<typeof planClaimSchema>;
