import { weightedDominantShare } from "../fairness";
import type { Policy } from "../policy";
import type { Resources } from "../resources";
import type { SchedulerState } from "./schedulerState";

/**
 * Weighted dominant shares of client accounts: of the capacity of all workers, what the account's runs use, in the
 * dimension in which that is most, over the account's weight. Each share is computed at its first use.
 */
export function createAccountShares(
    state: SchedulerState,
    policy: Policy,
): (account: string | undefined) => number {
    const shares = new Map<string, number>();
    let total: Resources | undefined;
    return (account) => {
        if (account === undefined) {
            return 0;
        }
        const known = shares.get(account);
        if (known !== undefined) {
            return known;
        }
        total ??= sumCapacity(state);
        const used = state.tenantUse.get(account) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
        const weight = policy.tenants.find(({ name }) => name === account)?.weight ?? 0;
        const share = weightedDominantShare(used, total, weight);
        shares.set(account, share);
        return share;
    };
}

function sumCapacity({ workers }: SchedulerState): Resources {
    const sum = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { capacity } of workers.values()) {
        sum.cpuMillis += capacity.cpuMillis;
        sum.memoryMb += capacity.memoryMb;
        sum.accelerators += capacity.accelerators;
    }
    return sum;
}
