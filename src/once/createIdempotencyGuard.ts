import { createProblem } from "../errors";
import type { Problem } from "../errors";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { Platform } from "../platform";
import type { TaskEnd, TaskRequest } from "../tasks";
import { type BucketSettings, defaultBucketSettings } from "./bucketSettings";
import type { TakenClaim } from "./createBucketCommitter";
import { createClaims } from "./createClaims";
import { createHolderQuery } from "./createHolderQuery";
import { createRunTable, type Run, type RunTable, waitForEnd } from "./createRunTable";
import { createTicketForwarder, replaceOversizedAnswer } from "./createTicketForwarder";
import { createTickets, parseTicketIssuer } from "./createTickets";
import { fingerprintRequest, hashKey } from "./hashKey";
import { idempotencyEnds, isNotRun, withNewKeyHint, withUnknownOutcome } from "./idempotencyEnds";
import type { Admission, Claim, IdempotencyGuard } from "./idempotencyGuard";
import { askMessageSchema, topics } from "./messages";

export interface IdempotencyGuardOptions {
    readonly boot: string;
    readonly platform: Platform;
    readonly peers: Peers;
    readonly members: Members;
    readonly buckets?: BucketSettings;
    readonly limits?: IdempotencyLimits;
}

/** Limits of what one entry keeps in memory. */
export interface IdempotencyLimits {
    /** Maximum runs of keys that callers chose; their claims are durable, so the oldest runs may be evicted. */
    readonly maxKeyRuns: number;
    /** Maximum runs of tickets; none is evicted before its ticket has expired. */
    readonly maxTicketRuns: number;
    /** Maximum total length of answers kept, in characters, for runs of chosen keys and of tickets each. */
    readonly maxAnswerBytes: number;
    readonly retentionMs: number;
    readonly ticketLifetimeMs: number;
}

export const defaultIdempotencyLimits: IdempotencyLimits = {
    maxKeyRuns: 20_000,
    maxTicketRuns: 50_000,
    maxAnswerBytes: 8 * 1024 * 1024,
    retentionMs: 600_000,
    ticketLifetimeMs: 600_000,
};

const outcomeLongPollMs = 5000;
const unreachableMs = 3000;

/** Claims keys that callers chose on the platform, and tracks the tickets that this entry issued in memory. */
export function createIdempotencyGuard(opts: IdempotencyGuardOptions): IdempotencyGuard {
    const { boot, peers, members } = opts;
    const limits = opts.limits ?? defaultIdempotencyLimits;
    const claims = createClaims({ platform: opts.platform, peers, settings: opts.buckets ?? defaultBucketSettings });
    const tickets = createTickets({ boot, lifetimeMs: limits.ticketLifetimeMs });
    const forwarder = createTicketForwarder({ peers, members, longPollMs: outcomeLongPollMs, unreachableMs });
    const queryHolder = createHolderQuery({ peers, members, longPollMs: outcomeLongPollMs, unreachableMs });
    const answerLimits = {
        maxAnswerBytes: limits.maxAnswerBytes,
        evictedAnswerEnd: idempotencyEnds.answerNotRetained(),
    };
    const keyRuns = createRunTable({
        ...answerLimits,
        maxRuns: limits.maxKeyRuns,
        retentionMs: limits.retentionMs,
        mayEvictEarly: true,
    });
    const ticketRuns = createRunTable({
        ...answerLimits,
        maxRuns: limits.maxTicketRuns,
        retentionMs: limits.ticketLifetimeMs,
        mayEvictEarly: false,
    });

    function tableOf(claim: Claim): RunTable {
        return parseTicketIssuer(claim.idempotencyKey) === undefined ? keyRuns : ticketRuns;
    }

    /** Begins a run of the key at this entry, or waits for the end of the existing one. */
    function beginRun(table: RunTable, request: TaskRequest, hash: string): Run | Promise<TaskEnd> {
        const fingerprint = fingerprintRequest(request);
        const existing = table.findByHash(hash);
        if (existing !== undefined) {
            return existing.fingerprint === fingerprint
                ? waitForEnd(existing)
                : Promise.resolve(idempotencyEnds.keyReused());
        }
        return table.begin(hash, fingerprint) ?? Promise.resolve(idempotencyEnds.tooManyRuns());
    }

    async function admitKey(request: TaskRequest, key: string, signal: AbortSignal): Promise<Admission> {
        const hash = hashKey(request.team, key);
        const run = beginRun(keyRuns, request, hash);
        if (run instanceof Promise) {
            return { kind: "ended", end: await run };
        }
        const found = await claims.lookup(hash, false);
        switch (found.kind) {
            case "free":
                return { kind: "run", claim: { team: request.team, idempotencyKey: key, number: run.number } };
            case "taken":
                return { kind: "ended", end: await endWithHolder(run, found, signal) };
            case "unavailable": {
                const end = idempotencyEnds.platformUnavailable();
                keyRuns.discard(run, end);
                return { kind: "ended", end };
            }
        }
    }

    async function admitTicket(request: TaskRequest, ticket: string, issuer: string, signal: AbortSignal) {
        const hash = hashKey(request.team, ticket);
        if (issuer !== boot) {
            return { kind: "ended", end: await forwarder.forward(request, hash, issuer, signal) } as const;
        }
        const check = tickets.check(request.team, ticket);
        if (check === "forged") {
            return { kind: "ended", end: idempotencyEnds.ticketForged() } as const;
        }
        if (check === "expired" && ticketRuns.findByHash(hash) === undefined) {
            return { kind: "ended", end: idempotencyEnds.ticketExpired() } as const;
        }
        const run = beginRun(ticketRuns, request, hash);
        return run instanceof Promise
            ? { kind: "ended", end: await run } as const
            : { kind: "run", claim: { team: request.team, idempotencyKey: ticket, number: run.number } } as const;
    }

    /** Ends this entry's attempt with the end of the attempt that holds the key. */
    async function endWithHolder(run: Run, taken: TakenClaim, signal: AbortSignal): Promise<TaskEnd> {
        const end = await findHolderEnd(run, taken, signal);
        keyRuns.discard(run, end);
        return end;
    }

    async function findHolderEnd(run: Run, taken: TakenClaim, signal: AbortSignal): Promise<TaskEnd> {
        if (taken.fingerprint !== run.fingerprint) {
            return idempotencyEnds.keyReused();
        }
        if (taken.isNotRun) {
            return idempotencyEnds.endedWithoutRunning();
        }
        if (taken.boot === boot) {
            const holder = keyRuns.findByNumber(taken.number);
            return holder === undefined
                ? idempotencyEnds.outcomeUnknown("this entry no longer knows how the task ended")
                : waitForEnd(holder);
        }
        return queryHolder({ boot: taken.boot, hash: run.hash, number: taken.number }, signal);
    }

    async function claimRun(run: Run): Promise<Problem | undefined> {
        run.isClaimRequested = true;
        const { hash, number, fingerprint } = run;
        const result = await claims.commit({ hash, boot, number, fingerprint });
        switch (result.kind) {
            case "granted":
                if (run.end !== undefined) {
                    return createProblem("ALREADY_CLAIMED", "the attempt ended before its claim was durable");
                }
                run.isGranted = true;
                return undefined;
            case "taken":
                run.takenBy = result;
                return createProblem("ALREADY_CLAIMED", "another attempt holds the key");
            case "unavailable":
                return createProblem("PLATFORM_UNAVAILABLE", "the claim could not be made durable", {
                    retryAfterSeconds: 2,
                });
            case "full":
                run.isClaimRequested = false;
                return createProblem("CLAIMS_FULL", "no claim could be recorded", { retryAfterSeconds: 60 });
        }
    }

    /** Ends an attempt whose claim was never granted; only another lookup of the claims shows the state of the key. */
    async function settleUngranted(run: Run, end: TaskEnd, signal: AbortSignal): Promise<TaskEnd> {
        if (run.takenBy !== undefined) {
            return endWithHolder(run, { kind: "taken", ...run.takenBy }, signal);
        }
        if (run.isClaimRequested) {
            // The claim may still become durable. The attempt is fenced: its number is never claimed again, and an
            // entry that finds the claim later and queries this boot gets the answer that the attempt never ran.
            keyRuns.release(run);
            const reported = withUnknownOutcome(end);
            keyRuns.finish(run, idempotencyEnds.endedWithoutRunning(), reported);
            claims.mark({ hash: run.hash, boot, number: run.number });
            return reported;
        }
        const found = await claims.lookup(run.hash, true);
        switch (found.kind) {
            case "free":
                keyRuns.discard(run, end);
                return end;
            case "taken":
                return endWithHolder(run, found, signal);
            case "unavailable": {
                const reported = withUnknownOutcome(end);
                keyRuns.discard(run, reported);
                return reported;
            }
        }
    }

    function settleGranted(table: RunTable, run: Run, end: TaskEnd): TaskEnd {
        if (!isNotRun(end)) {
            table.finish(run, end);
            return end;
        }
        const reported = withNewKeyHint(end);
        table.finish(run, reported);
        if (table === keyRuns) {
            claims.mark({ hash: run.hash, boot, number: run.number });
        }
        return reported;
    }

    peers.onRequest(topics.ask, async (_from, body) => {
        const parsed = askMessageSchema.safeParse(body);
        const run = parsed.success && parsed.data.number !== undefined
            ? keyRuns.findByNumber(parsed.data.number)
            : undefined;
        if (!parsed.success || run === undefined || run.hash !== parsed.data.hash) {
            return { kind: "unseen" };
        }
        const ended = waitForEnd(run).then((end) => ({ kind: "ended", end: replaceOversizedAnswer(end) }));
        const waited = new Promise((resolve) => setTimeout(resolve, parsed.data.waitMs, { kind: "running" }));
        return Promise.race([ended, waited]);
    });

    return {
        issueTicket: (team) => tickets.issue(team),
        async admit(request, signal) {
            const key = request.idempotencyKey ?? request.id;
            const issuer = parseTicketIssuer(key);
            return issuer === undefined ? admitKey(request, key, signal) : admitTicket(request, key, issuer, signal);
        },
        async claim(claim) {
            const run = tableOf(claim).findByNumber(claim.number);
            if (run === undefined || run.end !== undefined) {
                return createProblem("ALREADY_CLAIMED", "the attempt has ended");
            }
            if (run.isGranted) {
                return undefined;
            }
            if (tableOf(claim) === ticketRuns) {
                run.isGranted = true;
                return undefined;
            }
            return claimRun(run);
        },
        async settle(claim, end, signal) {
            const table = tableOf(claim);
            const run = table.findByNumber(claim.number);
            if (run === undefined) {
                return end;
            }
            if (run.isGranted) {
                return settleGranted(table, run, end);
            }
            if (table === ticketRuns) {
                table.discard(run, end);
                return end;
            }
            return settleUngranted(run, end, signal);
        },
        setForwardedRunner: forwarder.setForwardedRunner,
        counts: () => ({
            claims: claims.size(),
            runs: keyRuns.size() + ticketRuns.size(),
            answerBytes: keyRuns.answerBytes() + ticketRuns.answerBytes(),
        }),
        start() {},
        stop: () => Promise.resolve(),
    };
}
