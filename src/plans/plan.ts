import type { Change } from "../state";

/** The answer to an intent; nothing of it is done before it is confirmed. */
export interface Plan {
    readonly id: string;
    readonly madeAtRevision: number;
    readonly reason: string;
    readonly changes: readonly Change[];
    /** Readable steps, in order. */
    readonly steps: readonly string[];
    /** What cannot be met, and why. */
    readonly refusals: readonly string[];
}
