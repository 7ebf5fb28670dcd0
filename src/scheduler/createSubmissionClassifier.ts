import type { AccountRates, SubmissionClass } from "../fairness";
import type { Reporter } from "../logging";
import type { Policy } from "../policy";
import type { ServiceShares, SubmissionEntry } from "../schedule";
import { sizeCoreMs } from "../submissions";

export interface SubmissionClassifierOptions {
    readonly rates: AccountRates;
    readonly serviceShares: Pick<ServiceShares, "recordArrival">;
    readonly policy: () => Policy | undefined;
    readonly report: Reporter;
    readonly steadyMs: () => number;
}

/** Classifies the submissions of a tenure by the rates of their client accounts. */
export interface SubmissionClassifier {
    /** Adds an open submission, to be classified. */
    addOpen(entry: SubmissionEntry): void;
    /** Adds a submission that ended under an earlier leader. Without a time of acceptance it is not replayed. */
    addFinal(account: string | undefined, acceptedAtMs: number | undefined): void;
    /** Classifies what was added, in order of acceptance. Waits for the configuration if there is none yet. */
    classify(): void;
    /** Reports accounts with excess submissions. */
    tick(): void;
}

/** A submission to be classified; `entry` is `undefined` if it has ended. */
interface Unclassified {
    readonly account: string | undefined;
    readonly acceptedAtMs: number;
    readonly entry: SubmissionEntry | undefined;
}

interface AccountCount {
    accepted: number;
    excess: number;
    latestAcceptedAtMs: number;
}

/** Period of the reports on accounts, in milliseconds. */
const reportPeriodMs = 1000;

/**
 * Collects the submissions of one answer of the store and classifies them together. At the beginning of a tenure the
 * answer holds all submissions, in the order of their ids. Classified in this order, an early one could take the token of
 * a later one, and bursts would seem to have come at other times.
 */
export function createSubmissionClassifier(opts: SubmissionClassifierOptions): SubmissionClassifier {
    const { rates, report, steadyMs } = opts;
    let unclassified: Unclassified[] = [];
    let appliedPolicy: Policy | undefined;
    let countsByAccount = new Map<string, AccountCount>();
    let periodStartMs = steadyMs();

    function applyWeights(policy: Policy): void {
        if (policy !== appliedPolicy) {
            appliedPolicy = policy;
            rates.setWeights(new Map(policy.tenants.map(({ name, weight }) => [name, weight])), Date.now());
        }
    }

    function classifyOne({ account, acceptedAtMs, entry }: Unclassified): void {
        const result = rates.recordAccepted(account, acceptedAtMs, Date.now());
        if (entry === undefined) {
            return;
        }
        entry.isExcess = result === "excess";
        opts.serviceShares.recordArrival(entry);
        if (account !== undefined) {
            count(account, acceptedAtMs, result);
        }
        const { id, route } = entry.submission;
        report({
            kind: "submission",
            submission: id,
            change: "taken",
            route,
            sinceAcceptedMs: Date.now() - acceptedAtMs,
            class: result,
            workCoreMs: sizeCoreMs(entry.submission),
        });
    }

    function count(account: string, acceptedAtMs: number, result: SubmissionClass): void {
        const known = countsByAccount.get(account) ?? { accepted: 0, excess: 0, latestAcceptedAtMs: acceptedAtMs };
        countsByAccount.set(account, known);
        known.accepted++;
        known.excess += result === "excess" ? 1 : 0;
        known.latestAcceptedAtMs = Math.max(known.latestAcceptedAtMs, acceptedAtMs);
    }

    function reportAccount(account: string, { accepted, excess, latestAcceptedAtMs }: AccountCount): void {
        const nowMs = Date.now();
        report({
            kind: "accountRate",
            account,
            accepted,
            excess,
            tokens: Math.round(rates.tokens(account, nowMs) * 100) / 100,
            weightPerSecond: appliedPolicy?.tenants.find(({ name }) => name === account)?.weight ?? 0,
            policyVersion: appliedPolicy?.version ?? 0,
            periodMs: steadyMs() - periodStartMs,
            latestAgeMs: nowMs - latestAcceptedAtMs,
        });
    }

    return {
        addOpen: (entry) =>
            void unclassified.push({
                account: entry.submission.tenant,
                acceptedAtMs: entry.submission.acceptedAtMs,
                entry,
            }),
        addFinal(account, acceptedAtMs) {
            if (account !== undefined && acceptedAtMs !== undefined) {
                unclassified.push({ account, acceptedAtMs, entry: undefined });
            }
        },
        classify() {
            const policy = opts.policy();
            if (policy === undefined) {
                return;
            }
            applyWeights(policy);
            const batch = unclassified.sort((a, b) => a.acceptedAtMs - b.acceptedAtMs);
            unclassified = [];
            batch.forEach(classifyOne);
        },
        tick() {
            if (steadyMs() - periodStartMs < reportPeriodMs) {
                return;
            }
            for (const [account, counts] of countsByAccount) {
                if (counts.excess > 0) {
                    reportAccount(account, counts);
                }
            }
            countsByAccount = new Map();
            periodStartMs = steadyMs();
        },
    };
}
