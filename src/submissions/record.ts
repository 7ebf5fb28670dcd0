import type { FinalState, Submission } from "./submission";

/** Key prefix of submissions in the store. The entry that accepts one writes its record; the leader writes its end. */
export const submissionPrefix = "samphirepin/sub/";

/** Record of a submission in the store, under `submissionPrefix` followed by its id. */
export type SubmissionRecord =
    | { readonly kind: "open"; readonly submission: Submission; readonly isCancelled: boolean; }
    | {
        readonly kind: "final";
        readonly route: string;
        readonly state: FinalState;
        readonly endedAtMs: number;
        /** Client account and time of acceptance; missing in records of builds that did not write them. */
        readonly tenant?: string | undefined;
        readonly acceptedAtMs?: number | undefined;
    };

export function submissionKey(id: string): string {
    return submissionPrefix + id;
}

export function encodeRecord(record: SubmissionRecord): string {
    return JSON.stringify(record);
}

/** Returns `undefined` for text that isn't a record. Contents are not checked further: only this software writes there. */
export function decodeRecord(text: string): SubmissionRecord | undefined {
    try {
        const record = JSON.parse(text) as SubmissionRecord;
        return record.kind === "open" || record.kind === "final" ? record : undefined;
    }
    catch {
        return undefined;
    }
}
