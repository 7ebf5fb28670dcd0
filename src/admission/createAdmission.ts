import { bucketCapacity } from "./bucketCapacity";
import { type AdmissionDecision, decideAdmission } from "./decideAdmission";
import type { LoadSummary } from "./loadSummary";

/** Client account and the submissions per second to which it is entitled; 0 if it has no rate. */
export interface RatedAccount {
    readonly name: string;
    readonly weight: number;
}

/** A new submission, as far as the decision depends on it. */
export interface AdmissionRequest {
    /** `undefined` on public queues. */
    readonly account: RatedAccount | undefined;
    readonly pool: string;
    readonly isAlwaysAccepted: boolean;
    /** Time that the submission may wait and still meet its target, in milliseconds. */
    readonly slackMs: number;
}

/** Decides on this entry which submissions are accepted, by the leader's latest summary. */
export interface Admission {
    /** Takes a summary of a leader. One of an earlier leader is ignored. */
    receive(summary: LoadSummary, nowMs: number): void;
    decide(request: AdmissionRequest, nowMs: number): AdmissionDecision;
    /** Counts a submission that is about to be stored. */
    recordAccepted(account: RatedAccount | undefined, nowMs: number): void;
    /** Time since the latest summary arrived, in milliseconds; `undefined` before the first. */
    summaryAgeMs(nowMs: number): number | undefined;
}

interface ReceivedSummary {
    readonly token: number;
    readonly arrivedAtMs: number;
    readonly waitsMs: ReadonlyMap<string, number>;
}

/** Tokens of an account, by the latest summary and what this entry has accepted since. */
interface Bucket {
    readonly tokens: number;
    readonly filledAtMs: number;
}

/** Creates an admission that accepts everything until the first summary. `random` returns numbers from 0 to 1. */
export function createAdmission(random: () => number): Admission {
    let latest: ReceivedSummary | undefined;
    /** Accounts that are missing have a full bucket. */
    const buckets = new Map<string, Bucket>();

    function tokensOf({ name, weight }: RatedAccount, nowMs: number): number {
        const capacity = bucketCapacity(weight);
        const bucket = buckets.get(name);
        return bucket === undefined
            ? capacity
            : Math.min(capacity, bucket.tokens + weight * (nowMs - bucket.filledAtMs) / 1000);
    }

    return {
        receive({ token, pools, accounts }, nowMs) {
            if (latest !== undefined && token < latest.token) {
                return;
            }
            latest = {
                token,
                arrivedAtMs: nowMs,
                waitsMs: new Map(pools.map(({ pool, excessWaitMs }) => [pool, excessWaitMs])),
            };
            buckets.clear();
            accounts.forEach(({ account, tokens }) => buckets.set(account, { tokens, filledAtMs: nowMs }));
        },
        decide({ account, pool, isAlwaysAccepted, slackMs }, nowMs) {
            return decideAdmission({
                summaryAgeMs: latest === undefined ? undefined : nowMs - latest.arrivedAtMs,
                excessWaitMs: latest?.waitsMs.get(pool) ?? 0,
                tokens: account === undefined ? 0 : tokensOf(account, nowMs),
                weightPerSecond: account?.weight ?? 0,
                isAlwaysAccepted,
                slackMs,
                random: random(),
            });
        },
        recordAccepted(account, nowMs) {
            const tokens = account === undefined ? 0 : tokensOf(account, nowMs);
            // As in the leader's bucket, a submission beyond the rate takes no token.
            if (account !== undefined && tokens >= 1) {
                buckets.set(account.name, { tokens: tokens - 1, filledAtMs: nowMs });
            }
        },
        summaryAgeMs: (nowMs) => latest === undefined ? undefined : nowMs - latest.arrivedAtMs,
    };
}
