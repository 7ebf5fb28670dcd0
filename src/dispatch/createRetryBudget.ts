/**
 * Limits retries to a share of the arriving requests plus a small constant rate, so that they don't overload a failing
 * pool.
 */
export interface RetryBudget {
    /** Adds a share of a retry for a request that arrives. */
    recordRequest(): void;
    /** Spends one retry; returns false if none is left. */
    trySpend(): boolean;
}

const retriesPerRequest = 0.1;
const refillPerSecond = 1;
const maxTokens = 50;
const initialTokens = 10;

export function createRetryBudget(): RetryBudget {
    let tokens = initialTokens;
    let refilledAtMs = Date.now();

    function refill(): void {
        const nowMs = Date.now();
        tokens = Math.min(maxTokens, tokens + Math.max(0, nowMs - refilledAtMs) / 1000 * refillPerSecond);
        refilledAtMs = nowMs;
    }

    return {
        recordRequest() {
            tokens = Math.min(maxTokens, tokens + retriesPerRequest);
        },
        trySpend() {
            refill();
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        },
    };
}
