/** Allows retries as a part of the requests that arrive, with a small floor, so that a failing pool is not flooded. */
export interface RetryBudget {
    noteRequest(): void;
    /** Spends one retry; false where none is left. */
    trySpend(): boolean;
}

const retriesPerRequest = 0.1;
const floorPerSecond = 1;
const maxSaved = 50;
const savedAtStart = 10;

export function createRetryBudget(): RetryBudget {
    let saved = savedAtStart;
    let refilledAtMs = Date.now();

    function refill(): void {
        const nowMs = Date.now();
        saved = Math.min(maxSaved, saved + Math.max(0, nowMs - refilledAtMs) / 1000 * floorPerSecond);
        refilledAtMs = nowMs;
    }

    return {
        noteRequest() {
            saved = Math.min(maxSaved, saved + retriesPerRequest);
        },
        trySpend() {
            refill();
            if (saved < 1) {
                return false;
            }
            saved--;
            return true;
        },
    };
}
