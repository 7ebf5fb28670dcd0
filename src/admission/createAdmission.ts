import { type AdmissionDecision, decideAdmission } from "./decideAdmission";
import type { LoadSummary } from "./loadSummary";

/** A new submission, as far as the decision depends on it. */
export interface AdmissionRequest {
    /** Client account; `undefined` on public queues. */
    readonly account: { readonly name: string; readonly weight: number; } | undefined;
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
    recordAccepted(account: string | undefined): void;
    /** Time since the latest summary arrived, in milliseconds; `undefined` before the first. */
    summaryAgeMs(nowMs: number): number | undefined;
}

interface ReceivedSummary {
    readonly token: number;
    readonly arrivedAtMs: number;
    readonly waitsMs: ReadonlyMap<string, number>;
    readonly tokens: ReadonlyMap<string, number>;
}

/** Creates an admission that accepts everything until the first summary. `random` returns numbers from 0 to 1. */
export function createAdmission(random: () => number): Admission {
    let latest: ReceivedSummary | undefined;
    const acceptedSince = new Map<string, number>();

    return {
        receive({ token, pools, accounts }, nowMs) {
            if (latest !== undefined && token < latest.token) {
                return;
            }
            latest = {
                token,
                arrivedAtMs: nowMs,
                waitsMs: new Map(pools.map(({ pool, excessWaitMs }) => [pool, excessWaitMs])),
                tokens: new Map(accounts.map(({ account, tokens }) => [account, tokens])),
            };
            acceptedSince.clear();
        },
        decide({ account, pool, isAlwaysAccepted, slackMs }, nowMs) {
            return decideAdmission({
                summaryAgeMs: latest === undefined ? undefined : nowMs - latest.arrivedAtMs,
                excessWaitMs: latest?.waitsMs.get(pool) ?? 0,
                summaryTokens: latest?.tokens.get(account?.name ?? ""),
                weightPerSecond: account?.weight ?? 0,
                acceptedSince: acceptedSince.get(account?.name ?? "") ?? 0,
                isAlwaysAccepted,
                slackMs,
                random: random(),
            });
        },
        recordAccepted(account) {
            if (account !== undefined) {
                acceptedSince.set(account, (acceptedSince.get(account) ?? 0) + 1);
            }
        },
        summaryAgeMs: (nowMs) => latest === undefined ? undefined : nowMs - latest.arrivedAtMs,
    };
}
