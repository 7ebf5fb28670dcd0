import type { FinalState, Submission } from "./submission";

/** Where submissions lie in the store; written by the entry that takes one, ended by the owner. */
export const submissionPrefix = "samphirepin/sub/";

/** What the store holds of a submission under `submissionPrefix` and its id. */
export type SubmissionRecord =
    | { readonly kind: "open"; readonly submission: Submission; readonly isCancelled: boolean; }
    | { readonly kind: "final"; readonly route: string; readonly state: FinalState; readonly endedAtMs: number; };

export function submissionKey(id: string): string {
    return submissionPrefix + id;
}

export function encodeRecord(record: SubmissionRecord): string {
    return JSON.stringify(record);
}

/** Gives `undefined` for text that is no record; nothing but this product writes there. */
export function decodeRecord(text: string): SubmissionRecord | undefined {
    try {
        const record = JSON.parse(text) as SubmissionRecord;
        return record.kind === "open" || record.kind === "final" ? record : undefined;
    }
    catch {
        return undefined;
    }
}
