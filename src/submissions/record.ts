import type { FinalState, Submission } from "./submission";

/** Key prefix of submissions in the store. The entry that accepts one writes its record; the leader writes its end. */
export const submissionPrefix = "samphirepin/sub/";

/** The store carries out a write without an answer within this time or not at all, in milliseconds. */
export const lateWriteMs = 10_000;

/**
 * Minimum time for which records of ended submissions are kept, in milliseconds: a late write has to find the record that it
 * is not to replace, also where the clocks of two entries differ.
 */
export const minKeepFinishedMs = 3 * lateWriteMs;

/**
 * A run that was being stopped, or whose end had not been listed yet, when its submission ended. `bornMs` is when the
 * worker's incarnation started, in milliseconds since 1970.
 */
export type RemainingRun = readonly [
    occurrence: number,
    step: number,
    index: number,
    number: number,
    workerId: string,
    bornMs: number,
];

/** Remaining runs of an ended submission, and the submission without its payload. */
export interface RemainingRuns {
    readonly submission: Submission;
    readonly runs: readonly RemainingRun[];
}

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
        /** Runs that had not ended; missing if there were none, and in records of builds that did not write them. */
        readonly remaining?: RemainingRuns;
        /**
         * Nobody submitted it as far as the store knows: a cancellation found no record. While this one exists, a write of
         * the submission that is carried out late fails. Clients are answered as if there were no record. Builds that don't
         * know the field show the submission as cancelled.
         */
        readonly isTombstone?: true;
    };

export function submissionKey(id: string): string {
    return submissionPrefix + id;
}

export function submissionIdOf(key: string): string {
    return key.slice(submissionPrefix.length);
}

/** Record that a cancellation leaves where it finds none. */
export function createTombstone(route: string, nowMs: number): SubmissionRecord {
    return { kind: "final", route, state: "cancelled", endedAtMs: nowMs, isTombstone: true };
}

export function isTombstone(record: SubmissionRecord | undefined): boolean {
    return record?.kind === "final" && record.isTombstone === true;
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
