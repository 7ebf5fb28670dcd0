import type { Tenant } from "../policy";
import type { AccountLoad } from "./summarizeLoad";

/** Token buckets of the client accounts. */
export interface AccountTokens {
    /**
     * Tokens of an account's bucket, negative by the excess that was accepted; `undefined` where they are not known.
     *
     * @param nowMs milliseconds since 1970, as the submissions' `acceptedAtMs`
     */
    tokens(account: string, nowMs: number): number | undefined;
}

/** Lists the accounts that have a rate, with their tokens. */
export function listAccountLoads(
    tenants: readonly Pick<Tenant, "name" | "weight">[],
    rates: AccountTokens,
    nowMs: number,
): readonly AccountLoad[] {
    return tenants.filter(({ weight }) => weight > 0).map(({ name, weight }) => ({
        account: name,
        weightPerSecond: weight,
        tokens: rates.tokens(name, nowMs),
    }));
}
