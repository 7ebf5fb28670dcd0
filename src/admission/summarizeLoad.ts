import { bucketCapacity } from "./bucketCapacity";
import type { LoadSummary } from "./loadSummary";

/** The open work of a pool that a new excess submission would wait for, and the processors that do it. */
export interface PoolBacklog {
    readonly pool: string;
    /** Remaining work of the open submissions that rank before a new excess submission, in core-milliseconds. */
    readonly workCoreMs: number;
    /** Processors that ready tasks of the pool wait for, in thousandths. */
    readonly waitingCpuMillis: number;
    /** Processors that the pool has, has on the way, or could get from idle machines, in thousandths; 0 if unknown. */
    readonly capacityCpuMillis: number;
    /** The part of `capacityCpuMillis` that runs nothing. */
    readonly freeCpuMillis: number;
    /** More is free than the ready tasks that rank before a new excess submission wait for. */
    readonly hasCapacityLeft: boolean;
}

/** Tokens of an account's bucket. */
export interface AccountLoad {
    readonly account: string;
    /** Submissions per second to which the account is entitled. */
    readonly weightPerSecond: number;
    /** Negative by the excess that was accepted; `undefined` where it is not known. */
    readonly tokens: number | undefined;
}

export interface LoadInput {
    readonly token: number;
    readonly pools: readonly PoolBacklog[];
    readonly accounts: readonly AccountLoad[];
}

/**
 * Summarizes the load for the entries.
 *
 * The summary is sent to each entry ten times a second, so it holds only what can lead to a refusal: pools in which an
 * excess submission waits and, if there is one, accounts whose bucket is not full. As long as the tokens of an account
 * are not known, no submission may be refused, and the summary names no pool.
 */
export function summarizeLoad({ token, pools, accounts }: LoadInput): LoadSummary {
    const rated = accounts.filter(({ weightPerSecond }) => weightPerSecond > 0);
    const waits = rated.some(({ tokens }) => tokens === undefined)
        ? []
        : pools.map((pool) => ({ pool: pool.pool, excessWaitMs: excessWaitMs(pool) })).filter((pool) =>
            pool.excessWaitMs > 0
        );
    return { token, pools: waits, accounts: waits.length === 0 ? [] : listNotFull(rated) };
}

/**
 * Time that a new excess submission would wait, in milliseconds. It is 0 while capacity is free beyond what waiting tasks
 * will take, and in a pool whose processors are not known, for example because no worker has registered yet.
 */
export function excessWaitMs({ workCoreMs, capacityCpuMillis, hasCapacityLeft }: PoolBacklog): number {
    return capacityCpuMillis <= 0 || hasCapacityLeft ? 0 : Math.round(workCoreMs * 1000 / capacityCpuMillis);
}

function listNotFull(accounts: readonly AccountLoad[]): LoadSummary["accounts"] {
    return accounts.flatMap(({ account, weightPerSecond, tokens }) =>
        tokens === undefined || tokens >= bucketCapacity(weightPerSecond)
            ? []
            : [{ account, tokens: Math.round(Math.max(-weightPerSecond, tokens) * 100) / 100 }]
    );
}
