import type { Policy } from "../policy";
import type { SubmissionRequest, SubmissionState } from "./submission";

/** What every request to a queue carries. */
export interface QueueCall {
    /** For the log lines of this request. */
    readonly requestId: string;
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
    /** How long the client waits for the answer, in milliseconds; `undefined` where it does not say. */
    readonly timeoutMs: number | undefined;
}

/** Why a request was not carried out. Nothing of a refused request ever runs, but for `unknown`. */
export type Refusal =
    /** No configuration yet, or one that is too old to tell whether the key still holds. */
    | { readonly kind: "notInForce"; readonly detail: string; readonly retryAfterMs: number; }
    | { readonly kind: "noRoute"; }
    | { readonly kind: "badKey"; }
    | { readonly kind: "invalid"; readonly detail: string; }
    /** The store took nothing, so the submission was not accepted and never runs. */
    | { readonly kind: "storeUnavailable"; readonly detail: string; readonly retryAfterMs: number; }
    /** Nobody decides just now, or whoever does is not reached: what only the owner knows can't be told. */
    | { readonly kind: "ownerUnavailable"; readonly retryAfterMs: number; }
    /** Whether it was stored is not known; the same request may be sent again. */
    | { readonly kind: "unknown"; readonly detail: string; };

export type AcceptResult = { readonly kind: "accepted"; readonly isNew: boolean; } | Refusal;
export type StateResult = { readonly kind: "state"; readonly state: SubmissionState; } | {
    readonly kind: "gone";
} | Refusal;
export type CancelResult = { readonly kind: "cancelled"; } | { readonly kind: "gone"; } | Refusal;
export type CountResult = { readonly kind: "count"; readonly pendingSubmissions: number; } | Refusal;

/** What the owner of the scheduling duty tells entries; each may be without an answer. */
export interface OwnerView {
    /** `undefined`: the owner cannot be reached or does not know the submission. */
    findState(id: string): Promise<SubmissionState | undefined>;
    countPending(route: string): Promise<number | undefined>;
}

/** The configuration and how old it is. */
export interface PolicySource {
    policy(): Policy | undefined;
    ageMs(): number | undefined;
    /** The store has stopped answering, also through other entries. */
    isStoreLost(): boolean;
}

/** Takes clients' requests about submissions. */
export interface Door {
    accept(call: QueueCall, request: SubmissionRequest): Promise<AcceptResult>;
    state(call: QueueCall, id: string): Promise<StateResult>;
    cancel(call: QueueCall, id: string): Promise<CancelResult>;
    count(call: QueueCall): Promise<CountResult>;
}
