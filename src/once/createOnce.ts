import { createProblem } from "../errors";
import type { Problem } from "../errors";
import type { Members } from "../members";
import type { Peers } from "../peers";
import type { Platform } from "../platform";
import type { TaskEnd, TaskRequest } from "../tasks";
import { type BucketSettings, defaultBucketSettings } from "./bucketSettings";
import type { TakenClaim } from "./createBucketHome";
import { createClaims } from "./createClaims";
import { createHolderAsker } from "./createHolderAsker";
import { createMemory, type Memory, type Run, waitForEnd } from "./createMemory";
import { createTicketForwarder, shrinkEnd } from "./createTicketForwarder";
import { createTickets, readTicketBoot } from "./createTickets";
import { fingerprintRequest, hashKey } from "./hashKey";
import { askMessageSchema, topics } from "./messages";
import type { Admission, Claim, Once } from "./once";
import { isNotRun, onceEnds, withSpentHint, withUnknownHistory } from "./onceEnds";

export interface OnceOptions {
    readonly boot: string;
    readonly platform: Platform;
    readonly peers: Peers;
    readonly members: Members;
    readonly buckets?: BucketSettings;
    readonly limits?: OnceLimits;
}

/** Limits of what one entry keeps in memory. */
export interface OnceLimits {
    /** Maximum runs of keys that callers chose; their claims are durable, so the oldest runs may be evicted. */
    readonly maxKeyRuns: number;
    /** Maximum runs of tickets; none is evicted before its ticket has expired. */
    readonly maxTicketRuns: number;
    /** Maximum total length of answers kept, in characters, for runs of chosen keys and of tickets each. */
    readonly maxAnswerBytes: number;
    readonly keptMs: number;
    readonly ticketLifetimeMs: number;
}

export const defaultOnceLimits: OnceLimits = {
    maxKeyRuns: 20_000,
    maxTicketRuns: 50_000,
    maxAnswerBytes: 8 * 1024 * 1024,
    keptMs: 600_000,
    ticketLifetimeMs: 600_000,
};

const outcomeLongPollMs = 5000;
const unreachableMs = 3000;

/** Claims keys that callers chose on the platform, and tracks the tickets that this entry issued in memory. */
export function createOnce(opts: OnceOptions): Once {
    const { boot, peers, members } = opts;
    const limits = opts.limits ?? defaultOnceLimits;
    const claims = createClaims({ platform: opts.platform, peers, settings: opts.buckets ?? defaultBucketSettings });
    const tickets = createTickets({ boot, lifetimeMs: limits.ticketLifetimeMs });
    const forwarder = createTicketForwarder({ peers, members, askWaitMs: outcomeLongPollMs, unreachableMs });
    const queryHolder = createHolderAsker({ peers, members, askWaitMs: outcomeLongPollMs, unreachableMs });
    const answerLimits = { maxAnswerBytes: limits.maxAnswerBytes, forgottenAnswer: onceEnds.answerNotKept() };
    const keyRuns = createMemory({
        ...answerLimits,
        maxRuns: limits.maxKeyRuns,
        keptMs: limits.keptMs,
        mayForgetEarly: true,
    });
    const ticketRuns = createMemory({
        ...answerLimits,
        maxRuns: limits.maxTicketRuns,
        keptMs: limits.ticketLifetimeMs,
        mayForgetEarly: false,
    });

    function tableOf(claim: Claim): Memory {
        return readTicketBoot(claim.idempotencyKey) === undefined ? keyRuns : ticketRuns;
    }

    /** Begins a run of the key at this entry, or waits for the end of the existing one. */
    function beginRun(table: Memory, request: TaskRequest, hash: string): Run | Promise<TaskEnd> {
        const fingerprint = fingerprintRequest(request);
        const existing = table.findByHash(hash);
        if (existing !== undefined) {
            return existing.fingerprint === fingerprint ? waitForEnd(existing) : Promise.resolve(onceEnds.reused());
        }
        return table.begin(hash, fingerprint) ?? Promise.resolve(onceEnds.memoryFull());
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
                const end = onceEnds.platformSilent();
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
            return { kind: "ended", end: onceEnds.ticketForged() } as const;
        }
        if (check === "expired" && ticketRuns.findByHash(hash) === undefined) {
            return { kind: "ended", end: onceEnds.ticketExpired() } as const;
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
            return onceEnds.reused();
        }
        if (taken.isNotRun) {
            return onceEnds.spent();
        }
        if (taken.boot === boot) {
            const holder = keyRuns.findByNumber(taken.number);
            return holder === undefined
                ? onceEnds.holderLost("this entry no longer knows how the task ended")
                : waitForEnd(holder);
        }
        return queryHolder({ boot: taken.boot, hash: run.hash, number: taken.number }, signal);
    }

    async function claimRun(run: Run): Promise<Problem | undefined> {
        run.isClaimSent = true;
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
                run.isClaimSent = false;
                return createProblem("CLAIMS_FULL", "no claim could be recorded", { retryAfterSeconds: 60 });
        }
    }

    /** Ends an attempt whose claim was never granted; only another lookup of the claims shows the state of the key. */
    async function settleUngranted(run: Run, end: TaskEnd, signal: AbortSignal): Promise<TaskEnd> {
        if (run.takenBy !== undefined) {
            return endWithHolder(run, { kind: "taken", ...run.takenBy }, signal);
        }
        if (run.isClaimSent) {
            // The claim may still become durable. The attempt is fenced: its number is never claimed again, and an
            // entry that finds the claim later and queries this boot gets the answer that the attempt never ran.
            keyRuns.release(run);
            const reported = withUnknownHistory(end);
            keyRuns.finish(run, onceEnds.spent(), reported);
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
                const reported = withUnknownHistory(end);
                keyRuns.discard(run, reported);
                return reported;
            }
        }
    }

    function settleGranted(table: Memory, run: Run, end: TaskEnd): TaskEnd {
        if (!isNotRun(end)) {
            table.finish(run, end);
            return end;
        }
        const reported = withSpentHint(end);
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
        const ended = waitForEnd(run).then((end) => ({ kind: "ended", end: shrinkEnd(end) }));
        const waited = new Promise((resolve) => setTimeout(resolve, parsed.data.waitMs, { kind: "running" }));
        return Promise.race([ended, waited]);
    });

    return {
        issueTicket: (team) => tickets.issue(team),
        async admit(request, signal) {
            const key = request.idempotencyKey ?? request.id;
            const issuer = readTicketBoot(key);
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
        onForwarded: forwarder.onForwarded,
        counts: () => ({
            claims: claims.size(),
            runs: keyRuns.size() + ticketRuns.size(),
            answerBytes: keyRuns.answerBytes() + ticketRuns.answerBytes(),
        }),
        start() {},
        stop: () => Promise.resolve(),
    };
}
