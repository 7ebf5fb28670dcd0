import { pause } from "../clock";
import type { Reporter } from "../logging";
import { findRoute, findTenant, type Policy, type Route } from "../policy";
import type { Store } from "../store";
import { findFault } from "./checkSteps";
import type { RecordWriter } from "./createRecordWriter";
import type {
    AcceptResult,
    CancelResult,
    CountResult,
    Door,
    OwnerView,
    PolicySource,
    QueueCall,
    Refusal,
} from "./door";
import { decodeRecord, encodeRecord, submissionKey, type SubmissionRecord } from "./record";
import type { Submission, SubmissionRequest, SubmissionState } from "./submission";

export interface DoorOptions {
    readonly policySource: PolicySource;
    readonly store: Store;
    readonly writer: RecordWriter;
    readonly owner: OwnerView;
    readonly report: Reporter;
    readonly steadyMs: () => number;
    /** A key that was taken away has to stop working everywhere within this time, in milliseconds. */
    readonly revokeMs: number;
}

/** Used where neither the client nor the route says how long a request may take, in milliseconds. */
const defaultTimeoutMs = 3000;

/** Time left for the answer's way back, in milliseconds. */
const answerMarginMs = 100;

/** A configuration must be this much younger than the bound on withdrawn keys, for the time a request takes here. */
const revokeMarginMs = 500;

/** Clients come back when the store may have recovered: its outages last seconds. */
const storeRetryAfterMs = 1000;

/** A new owner has read what is open after a second or two. */
const ownerRetryAfterMs = 1000;

/** Pause before a read that got no answer is made again, in milliseconds. */
const storeRetryMs = 150;

/** How long a count may be reused, in milliseconds; it may be 2 s old as a whole. */
const countReuseMs = 500;

/** Checks requests, stores what is accepted and tells what became of it. */
export function createDoor(opts: DoorOptions): Door {
    const { policySource, store, writer, owner, report, steadyMs } = opts;
    const counts = new Map<string, { readonly count: number; readonly readAtMs: number; }>();

    /**
     * Without news from the store for `revokeMs` a key may have been withdrawn without this entry knowing; to go on
     * would let work in under it. The entry refuses as unavailable, since the key itself may well be good.
     */
    function admit(call: QueueCall): { policy: Policy; route: Route; tenant: string | undefined; } | Refusal {
        const [policy, ageMs] = [policySource.policy(), policySource.ageMs()];
        if (policy === undefined || ageMs === undefined) {
            return { kind: "notInForce", detail: "there is no configuration yet", retryAfterMs: storeRetryAfterMs };
        }
        const route = findRoute(policy, call.host, call.path);
        if (route === undefined) {
            return { kind: "noRoute" };
        }
        if (route.isPublic) {
            return { policy, route, tenant: undefined };
        }
        if (ageMs > opts.revokeMs - revokeMarginMs) {
            const detail = `the configuration was last confirmed ${Math.round(ageMs)} ms ago`;
            return { kind: "notInForce", detail, retryAfterMs: storeRetryAfterMs };
        }
        const tenant = call.key === undefined ? undefined : findTenant(policy, call.key);
        return tenant === undefined ? { kind: "badKey" } : { policy, route, tenant: tenant.name };
    }

    function deadlineOf(call: QueueCall, route: Route | undefined): number {
        return steadyMs() + (call.timeoutMs ?? route?.timeoutMs ?? defaultTimeoutMs) - answerMarginMs;
    }

    async function storeSubmission(call: QueueCall, route: Route, submission: Submission) {
        const text = encodeRecord({ kind: "open", submission, isCancelled: false });
        const write = { key: submissionKey(submission.id), revision: 0, text };
        const outcome = await writer.write(write, deadlineOf(call, route));
        switch (outcome.kind) {
            case "written":
                return { kind: "accepted", isNew: true } as const;
            case "conflict":
                return { kind: "accepted", isNew: false } as const;
            case "notWritten":
                return {
                    kind: "storeUnavailable",
                    detail: outcome.detail,
                    retryAfterMs: storeRetryAfterMs,
                } as const;
            case "unknown":
                return { kind: "unknown", detail: outcome.detail } as const;
        }
    }

    /** The record of a submission; tried until the client's time is over. */
    async function readRecord(call: QueueCall, id: string) {
        const deadlineMs = deadlineOf(call, undefined);
        for (;;) {
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

    async function writeCancel(call: QueueCall, id: string): Promise<CancelResult> {
        const read = await readRecord(call, id);
        if (read.kind !== "record") {
            return read;
        }
        if (read.record.kind === "final" || read.record.isCancelled) {
            return { kind: "cancelled" };
        }
        const text = encodeRecord({ ...read.record, isCancelled: true });
        const write = { key: submissionKey(id), revision: read.revision, text };
        const outcome = await writer.write(write, deadlineOf(call, undefined));
        switch (outcome.kind) {
            case "written":
                return { kind: "cancelled" };
            case "conflict":
                // The owner has ended it, or another cancellation came first.
                return writeCancel(call, id);
            case "notWritten":
                return unavailable(outcome.detail);
            case "unknown":
                return { kind: "unknown", detail: outcome.detail };
        }
    }

    function log<R extends { kind: string; detail?: string; }>(call: QueueCall, action: string, id: string, result: R) {
        report({
            kind: "request",
            requestId: call.requestId,
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
        async accept(call, request) {
            const admitted = admit(call);
            if ("kind" in admitted) {
                return log(call, "accept", request.id, admitted);
            }
            const fault = findFault(request);
            if (fault !== undefined) {
                return log<AcceptResult>(call, "accept", request.id, { kind: "invalid", detail: fault });
            }
            if (policySource.isStoreLost()) {
                // Tried all the same, the client would wait out its time and hear that the outcome is not known.
                return log<AcceptResult>(
                    call,
                    "accept",
                    request.id,
                    unavailable("the store does not answer this entry"),
                );
            }
            const submission = toSubmission(request, admitted);
            return log(call, "accept", request.id, await storeSubmission(call, admitted.route, submission));
        },
        async state(call, id) {
            const admitted = admit(call);
            if ("kind" in admitted) {
                return log(call, "state", id, admitted);
            }
            const known = await owner.findState(id);
            if (known !== undefined) {
                return { kind: "state", state: known };
            }
            const read = await readRecord(call, id);
            return read.kind === "record"
                ? { kind: "state", state: stateOf(read.record) }
                : log(call, "state", id, read);
        },
        async cancel(call, id) {
            const admitted = admit(call);
            return log(call, "cancel", id, "kind" in admitted ? admitted : await writeCancel(call, id));
        },
        async count(call) {
            const admitted = admit(call);
            if ("kind" in admitted) {
                return log(call, "count", "", admitted);
            }
            const { name } = admitted.route;
            const reused = counts.get(name);
            if (reused !== undefined && steadyMs() - reused.readAtMs < countReuseMs) {
                return { kind: "count", pendingSubmissions: reused.count };
            }
            const pendingSubmissions = await owner.countPending(name);
            if (pendingSubmissions === undefined) {
                // The store could tell it too, by all submissions there are. Read by every entry while nobody decides, they
                // fill the links of small instances for seconds: renewals of leases are late, and the next owner is lost too.
                return log<CountResult>(call, "count", "", {
                    kind: "ownerUnavailable",
                    retryAfterMs: ownerRetryAfterMs,
                });
            }
            counts.set(name, { count: pendingSubmissions, readAtMs: steadyMs() });
            return { kind: "count", pendingSubmissions };
        },
    };
}

function unavailable(detail: string): Refusal {
    return { kind: "storeUnavailable", detail, retryAfterMs: storeRetryAfterMs };
}

function toSubmission(
    request: SubmissionRequest,
    { route, tenant }: { route: Route; tenant: string | undefined; },
): Submission {
    return { ...request, tenant, route: route.name, service: route.service, acceptedAtMs: Date.now() };
}

/** What the record alone tells; whether tasks have started is known to the owner. */
function stateOf(record: SubmissionRecord): SubmissionState {
    switch (record.kind) {
        case "final":
            return record.state;
        case "open":
            return record.isCancelled ? "cancelled" : "pending";
    }
}
