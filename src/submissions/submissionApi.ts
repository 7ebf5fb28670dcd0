import type { Policy } from "../policy";
import type { SubmissionRequest, SubmissionState } from "./submission";

/** What every client request to a queue carries, apart from its body. */
export interface RequestContext {
    /** Identifies the request in log lines. */
    readonly requestId: string;
    readonly host: string;
    readonly path: string;
    /** API key; `undefined` where the request has none. */
    readonly key: string | undefined;
    /** How long the client waits for the answer, in milliseconds; `undefined` where it sets no timeout. */
    readonly timeoutMs: number | undefined;
}

/** Why a request was not carried out. No task of a refused request ever runs. `unknown` is the exception: its tasks may run. */
export type Refusal =
    /**
     * No configuration is in force: there is none yet, or it is too old to tell whether the key is still valid, or whether
     * an unknown queue or key has been added.
     */
    | { readonly kind: "notInForce"; readonly detail: string; readonly retryAfterMs: number; }
    /** No queue has this host and path. */
    | { readonly kind: "noRoute"; }
    /** The API key is missing or unknown. */
    | { readonly kind: "badKey"; }
    /** The submission is malformed. */
    | { readonly kind: "invalid"; readonly detail: string; }
    /** The store is unavailable and nothing was written, so a new submission was not accepted and never runs. */
    | { readonly kind: "storeUnavailable"; readonly detail: string; readonly retryAfterMs: number; }
    /** The account is beyond its rate, and the work that waits would make the submission late. Nothing was written. */
    | { readonly kind: "overloaded"; readonly detail: string; readonly retryAfterMs: number; }
    /** The submission was cancelled before it was stored, so it never runs. */
    | { readonly kind: "cancelledBefore"; }
    /** Clients cancel more unknown submissions than this entry may record. The cancellation was not recorded. */
    | { readonly kind: "tooManyCancels"; readonly retryAfterMs: number; }
    /** There is no leader at the moment, or it can't be reached, and only the leader knows the answer. */
    | { readonly kind: "ownerUnavailable"; readonly retryAfterMs: number; }
    /** It is not known whether the request was stored; the client may send the same request again. */
    | { readonly kind: "unknown"; readonly detail: string; };

/** `isNew` is false where the same submission was stored before. */
export type AcceptResult = { readonly kind: "accepted"; readonly isNew: boolean; } | Refusal;
/** `gone`: the store has no such submission. */
export type StateResult = { readonly kind: "state"; readonly state: SubmissionState; } | {
    readonly kind: "gone";
} | Refusal;
/** `gone`: there is no such submission, and none of a write that is still on its way to the store will run. */
export type CancelResult =
    | { readonly kind: "cancelled"; }
    | { readonly kind: "gone"; readonly detail?: string; }
    | Refusal;
export type CountResult = { readonly kind: "count"; readonly pendingSubmissions: number; } | Refusal;

/** Questions to the scheduling leader; each answer is `undefined` where the leader can't be reached. */
export interface LeaderQueries {
    /** `undefined` also where the leader doesn't know the submission. */
    findState(id: string): Promise<SubmissionState | undefined>;
    /** Number of pending submissions of a queue. */
    countPending(queue: string): Promise<number | undefined>;
}

/** The newest configuration, and the age of this entry's view of it. */
export interface PolicySource {
    policy(): Policy | undefined;
    /** Age of the view, in milliseconds; `undefined` before the store's first answer. */
    ageMs(): number | undefined;
    /** Asks the store for changes, unless the view is at most `maxAgeMs` old. Resolves at the answer or after a timeout. */
    confirm(maxAgeMs: number): Promise<void>;
    /** The store answers neither directly nor through other entries. */
    isStoreLost(): boolean;
}

/** Handles clients' requests about submissions. */
export interface SubmissionApi {
    /** Stores a submission; "accepted" is only answered once it is stored. */
    accept(context: RequestContext, request: SubmissionRequest): Promise<AcceptResult>;
    /** Reads the state of a submission. */
    state(context: RequestContext, id: string): Promise<StateResult>;
    /** Stores the cancellation of a submission. */
    cancel(context: RequestContext, id: string): Promise<CancelResult>;
    /** Counts the pending submissions of a queue. */
    count(context: RequestContext): Promise<CountResult>;
}
