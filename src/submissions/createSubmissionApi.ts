import { pause } from "../clock";
import type { Reporter } from "../logging";
import { findQueue, findTenant, type Policy, type QueueConfig, type Tenant, termsOf } from "../policy";
import type { Store, StoreItem } from "../store";
import type { CancelBudget } from "./createCancelBudget";
import type { LoadCheck } from "./createLoadCheck";
import type { RecordWrite, RecordWriter } from "./createRecordWriter";
import {
    createTombstone,
    decodeRecord,
    encodeRecord,
    isTombstone,
    submissionKey,
    type SubmissionRecord,
} from "./record";
import type { Submission, SubmissionRequest, SubmissionState } from "./submission";
import type {
    AcceptResult,
    CancelResult,
    CountResult,
    LeaderQueries,
    PolicySource,
    Refusal,
    RequestContext,
    StateResult,
    SubmissionApi,
} from "./submissionApi";
import { validateSubmission } from "./validateSubmission";

/** What a request may use; `tenant` is `undefined` where the queue needs no key. */
interface Authorized {
    readonly policy: Policy;
    readonly queue: QueueConfig;
    readonly tenant: Tenant | undefined;
}

export interface SubmissionApiOptions {
    readonly policySource: PolicySource;
    readonly store: Store;
    readonly writer: RecordWriter;
    readonly leader: LeaderQueries;
    readonly cancelBudget: CancelBudget;
    /** Refuses submissions for load; without it, none is refused for load. */
    readonly loadCheck?: LoadCheck;
    readonly report: Reporter;
    /** Reads the monotonic clock, in milliseconds. */
    readonly steadyMs: () => number;
    /** A withdrawn API key has to stop working on every entry within this time, in milliseconds. */
    readonly revokeMs: number;
    /**
     * A configuration has to be in force on every entry this long after it was confirmed, in milliseconds; `undefined` for
     * no bound.
     */
    readonly configApplyMs: number | undefined;
    /** A submission has been stored; `tookMs` is the time that the store took, in milliseconds. */
    onStored?(item: StoreItem, tookMs: number): void;
}

/** Timeout where neither the client nor the queue sets one, in milliseconds. */
const defaultTimeoutMs = 3000;

/** Part of the client's timeout that is reserved for returning the answer, in milliseconds. */
const answerMarginMs = 100;

/**
 * The configuration must be younger than `revokeMs` by this margin, which covers the time that a request takes here, in
 * milliseconds.
 */
const revokeMarginMs = 500;

/** Clients are asked to retry after this time, in milliseconds: outages of the store last seconds. */
const storeRetryAfterMs = 1000;

/** Clients are asked to retry after this time, in milliseconds: a new leader has read all open work in 1-2 s. */
const leaderRetryAfterMs = 1000;

const storeLostDetail = "the store does not answer this entry";

/** Pause before a read without an answer is retried, in milliseconds. */
const storeRetryMs = 150;

/** How long a count is cached, in milliseconds. Clients may get counts that are up to 2 s old in total. */
const countReuseMs = 500;

/** Checks clients' requests, stores accepted submissions and cancellations, and reports the state of submissions. */
export function createSubmissionApi(opts: SubmissionApiOptions): SubmissionApi {
    const { policySource, store, writer, leader: leaderQueries, report, steadyMs } = opts;
    const counts = new Map<string, { readonly count: number; readonly readAtMs: number; }>();

    /**
     * Finds the queue of a request and checks its API key.
     *
     * A queue or a key that is not in the view may have been added since the view was last confirmed, so the request is
     * only refused for it on a view that is young enough. An older one is confirmed first. If the store does not answer,
     * the request is answered "not in force", which tells the client to come back.
     */
    async function authorize(context: RequestContext): Promise<Authorized | Refusal> {
        const maxAgeMs = opts.configApplyMs ?? Number.POSITIVE_INFINITY;
        const result = authorizeByView(context);
        if (!isDefiniteRefusal(result) || isViewYoungerThan(maxAgeMs)) {
            return result;
        }
        if (!policySource.isStoreLost()) {
            await policySource.confirm(maxAgeMs);
        }
        return isViewYoungerThan(maxAgeMs) ? authorizeByView(context) : notInForce();
    }

    function isViewYoungerThan(ms: number): boolean {
        const ageMs = policySource.ageMs();
        return ageMs !== undefined && ageMs <= ms;
    }

    /**
     * Without an answer of the store for `revokeMs`, a key may have been withdrawn without this entry knowing, and the entry
     * would accept work under it. It answers "not in force" instead of rejecting the key, which may still be valid.
     */
    function authorizeByView(context: RequestContext): Authorized | Refusal {
        const policy = policySource.policy();
        if (policy === undefined || policySource.ageMs() === undefined) {
            return {
                kind: "notInForce",
                detail: "there is no configuration yet",
                retryAfterMs: storeRetryAfterMs,
            };
        }
        const queue = findQueue(policy, context.host, context.path);
        if (queue === undefined) {
            return { kind: "noRoute" };
        }
        if (queue.isPublic) {
            return { policy, queue, tenant: undefined };
        }
        if (!isViewYoungerThan(opts.revokeMs - revokeMarginMs)) {
            return notInForce();
        }
        const tenant = context.key === undefined ? undefined : findTenant(policy, context.key);
        return tenant === undefined ? { kind: "badKey" } : { policy, queue, tenant };
    }

    function notInForce(): Refusal {
        const ageMs = Math.round(policySource.ageMs() ?? 0);
        const detail = `the configuration was last confirmed ${ageMs} ms ago`;
        return { kind: "notInForce", detail, retryAfterMs: storeRetryAfterMs };
    }

    function deadlineOf(context: RequestContext, queue: QueueConfig | undefined): number {
        return steadyMs() + (context.timeoutMs ?? queue?.timeoutMs ?? defaultTimeoutMs) - answerMarginMs;
    }

    async function storeSubmission(submission: Submission, deadlineMs: number): Promise<AcceptResult> {
        const text = encodeRecord({ kind: "open", submission, isCancelled: false });
        const write = { key: submissionKey(submission.id), revision: 0, text };
        const sentAtMs = steadyMs();
        const outcome = await writer.write(write, deadlineMs);
        switch (outcome.kind) {
            case "written":
                opts.onStored?.({ key: write.key, text, revision: outcome.revision }, steadyMs() - sentAtMs);
                return { kind: "accepted", isNew: true };
            case "conflict":
                return isTombstone(outcome.item === undefined ? undefined : decodeRecord(outcome.item.text))
                    ? { kind: "cancelledBefore" }
                    : { kind: "accepted", isNew: false };
            case "notWritten":
                return unavailable(outcome.detail);
            case "unknown":
                return { kind: "unknown", detail: outcome.detail };
        }
    }

    /** Stores a submission, unless it is refused for load. */
    async function admit(
        context: RequestContext,
        request: SubmissionRequest,
        authorized: { readonly queue: QueueConfig; readonly tenant: Tenant | undefined; },
    ): Promise<AcceptResult> {
        const { queue, tenant } = authorized;
        // The check may take a part of the client's timeout.
        const deadlineMs = deadlineOf(context, queue);
        const answer = await opts.loadCheck?.check(request, queue, tenant);
        if (answer !== undefined) {
            return answer;
        }
        const storing = () => storeSubmission(toSubmission(request, authorized), deadlineMs);
        return opts.loadCheck === undefined ? storing() : opts.loadCheck.track(request.id, storing);
    }

    /** An answer "not stored" would be untrue if an earlier attempt of the client was stored, because its tasks run then. */
    function considerEarlierAttempt(id: string, result: AcceptResult): AcceptResult {
        return result.kind === "storeUnavailable" && opts.loadCheck?.mayBeStored(id) === true
            ? { kind: "unknown", detail: `an earlier attempt may have been stored; ${result.detail}` }
            : result;
    }

    /** Reads the record of a submission, with retries until the client's timeout. */
    async function readRecord(context: RequestContext, id: string) {
        const deadlineMs = deadlineOf(context, undefined);
        for (;;) {
            if (policySource.isStoreLost()) {
                return unavailable(storeLostDetail);
            }
            const result = await store.read(submissionKey(id));
            switch (result.kind) {
                case "found": {
                    const record = decodeRecord(result.item.text);
                    return record === undefined
                        ? { kind: "unknown", detail: "the record can't be read" } as const
                        : { kind: "record", record, revision: result.item.revision } as const;
                }
                case "missing":
                    return { kind: "gone" } as const;
                case "unavailable":
                    if (steadyMs() + storeRetryMs > deadlineMs) {
                        return unavailable(result.detail);
                    }
                    await pause(storeRetryMs);
            }
        }
    }

    async function cancelStored(context: RequestContext, id: string, queue: QueueConfig): Promise<CancelResult> {
        const read = await readRecord(context, id);
        if (read.kind === "gone") {
            return cancelUnknown(context, id, queue);
        }
        if (read.kind !== "record") {
            return read;
        }
        if (isTombstone(read.record)) {
            return { kind: "gone", detail: "cancelled before it was stored" };
        }
        if (read.record.kind === "final" || read.record.isCancelled) {
            return { kind: "cancelled" };
        }
        const text = encodeRecord({ ...read.record, isCancelled: true });
        const write = { key: submissionKey(id), revision: read.revision, text };
        return writeCancel(context, id, queue, write, { kind: "cancelled" });
    }

    /**
     * Cancels a submission without a record. The client may have submitted it and got no answer, and the store may still
     * carry out that write. It finds the tombstone then and fails.
     */
    async function cancelUnknown(context: RequestContext, id: string, queue: QueueConfig): Promise<CancelResult> {
        const waitMs = opts.cancelBudget.spend();
        if (waitMs > 0) {
            return { kind: "tooManyCancels", retryAfterMs: waitMs };
        }
        const text = encodeRecord(createTombstone(queue.name, Date.now()));
        const write = { key: submissionKey(id), revision: 0, text };
        return writeCancel(context, id, queue, write, { kind: "gone", detail: "cancelled before it was stored" });
    }

    async function writeCancel(
        context: RequestContext,
        id: string,
        queue: QueueConfig,
        write: RecordWrite,
        written: CancelResult,
    ): Promise<CancelResult> {
        const outcome = await writer.write(write, deadlineOf(context, undefined));
        switch (outcome.kind) {
            case "written":
                return written;
            case "conflict":
                // The submission was stored, the leader has written its end, or another cancellation was first.
                return cancelStored(context, id, queue);
            case "notWritten":
                return unavailable(outcome.detail);
            case "unknown":
                return { kind: "unknown", detail: outcome.detail };
        }
    }

    function logRequest<R extends { kind: string; detail?: string; }>(
        context: RequestContext,
        action: string,
        id: string,
        result: R,
    ) {
        report({
            kind: "request",
            requestId: context.requestId,
            action,
            submission: id,
            outcome: result.kind,
            detail: result.detail ?? "",
            policyVersion: policySource.policy()?.version ?? 0,
            policyAgeMs: Math.round(policySource.ageMs() ?? -1),
        });
        return result;
    }

    return {
        async accept(context, request) {
            const authorized = await authorize(context);
            if ("kind" in authorized) {
                return logRequest(context, "accept", request.id, authorized);
            }
            const problem = validateSubmission(request);
            if (problem !== undefined) {
                return logRequest<AcceptResult>(context, "accept", request.id, { kind: "invalid", detail: problem });
            }
            // While the store is lost, an attempt would keep the client waiting until its timeout, with an unknown outcome.
            const result = policySource.isStoreLost()
                ? unavailable(storeLostDetail)
                : await admit(context, request, authorized);
            return logRequest(context, "accept", request.id, considerEarlierAttempt(request.id, result));
        },
        async state(context, id) {
            const authorized = await authorize(context);
            if ("kind" in authorized) {
                return logRequest(context, "state", id, authorized);
            }
            const leaderState = await leaderQueries.findState(id);
            if (leaderState !== undefined) {
                return { kind: "state", state: leaderState };
            }
            const read = await readRecord(context, id);
            if (read.kind === "record" && !isTombstone(read.record)) {
                return { kind: "state", state: stateOf(read.record) };
            }
            return logRequest<StateResult>(context, "state", id, read.kind === "record" ? { kind: "gone" } : read);
        },
        async cancel(context, id) {
            const authorized = await authorize(context);
            return logRequest(
                context,
                "cancel",
                id,
                "kind" in authorized ? authorized : await cancelStored(context, id, authorized.queue),
            );
        },
        async count(context) {
            const authorized = await authorize(context);
            if ("kind" in authorized) {
                return logRequest(context, "count", "", authorized);
            }
            const { name } = authorized.queue;
            const cached = counts.get(name);
            if (cached !== undefined && steadyMs() - cached.readAtMs < countReuseMs) {
                return { kind: "count", pendingSubmissions: cached.count };
            }
            const pendingSubmissions = await leaderQueries.countPending(name);
            if (pendingSubmissions === undefined) {
                // A count from the store would need a read of all submissions. If every entry does that while there is no
                // leader, the network links of small instances are saturated for seconds: leases are renewed too late, and
                // the next leader is lost as well.
                return logRequest<CountResult>(context, "count", "", {
                    kind: "ownerUnavailable",
                    retryAfterMs: leaderRetryAfterMs,
                });
            }
            counts.set(name, { count: pendingSubmissions, readAtMs: steadyMs() });
            return { kind: "count", pendingSubmissions };
        },
    };
}

function isDefiniteRefusal(result: Authorized | Refusal): boolean {
    return "kind" in result && (result.kind === "noRoute" || result.kind === "badKey");
}

function unavailable(detail: string): Refusal {
    return { kind: "storeUnavailable", detail, retryAfterMs: storeRetryAfterMs };
}

function toSubmission(
    request: SubmissionRequest,
    { queue, tenant }: { queue: QueueConfig; tenant: Tenant | undefined; },
): Submission {
    return {
        ...request,
        tenant: tenant?.name,
        route: queue.name,
        service: queue.service,
        acceptedAtMs: Date.now(),
        terms: termsOf(queue),
        ...tenant === undefined ? {} : { accountCap: tenant.cap },
    };
}

/** State according to the record alone. Only the leader knows whether tasks have started. */
function stateOf(record: SubmissionRecord): SubmissionState {
    switch (record.kind) {
        case "final":
            return record.state;
        case "open":
            return record.isCancelled ? "cancelled" : "pending";
    }
}
