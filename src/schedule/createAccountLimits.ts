import type { Policy } from "../policy";
import type { Resources } from "../resources";
import type { Submission } from "../submissions";

/** Limits of client accounts over all workers. An account that is no longer configured keeps the last known limit. */
export interface AccountLimits {
    /** Adopts the limits of a configuration. */
    applyPolicy(policy: Policy): void;
    /** Learns the limit under which a submission was accepted, for an account that is not configured any more. */
    learn(submission: Submission): void;
    /** Limit of an account; 0 in a dimension: no limit there; `undefined`: none is known. */
    capOf(account: string | undefined): Resources | undefined;
}

interface KnownCap {
    readonly cap: Resources;
    /** When the limit applied, in milliseconds since 1970; infinite for one that was read from the configuration. */
    readonly atMs: number;
}

export function createAccountLimits(): AccountLimits {
    const caps = new Map<string, KnownCap>();
    let appliedPolicy: Policy | undefined;

    return {
        applyPolicy(policy) {
            if (policy === appliedPolicy) {
                return;
            }
            appliedPolicy = policy;
            policy.tenants.forEach(({ name, cap }) => caps.set(name, { cap, atMs: Number.POSITIVE_INFINITY }));
        },
        learn({ tenant, accountCap, acceptedAtMs }) {
            if (tenant === undefined || accountCap === undefined) {
                return;
            }
            const known = caps.get(tenant);
            if (known === undefined || known.atMs < acceptedAtMs) {
                caps.set(tenant, { cap: accountCap, atMs: acceptedAtMs });
            }
        },
        capOf: (account) => account === undefined ? undefined : caps.get(account)?.cap,
    };
}
