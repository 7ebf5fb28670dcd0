import { firstAnswer } from "./firstAnswer";
import type { Store, WatchResult } from "./store";

export interface HedgedStoreOptions {
    /** Path that every call takes first. */
    readonly store: Store;
    /** Further paths for watches. They are tried together. */
    readonly alternatives: readonly Pick<Store, "watch">[];
    /** Called when an overdue or failed watch has been repeated, with the kind of its result. */
    onRepeated?(prefix: string, outcome: WatchResult["kind"]): void;
}

/**
 * A watch that has not been answered this long after the end of its wait is repeated on the other paths, in milliseconds.
 * A slow store takes about 300.
 */
export const watchOverdueMs = 400;

/** Pause before the other paths are tried again while the first one is still silent, in milliseconds. */
const retryMs = 200;

/**
 * Creates a store client that repeats an overdue or failed watch on other paths, and takes the first answer.
 *
 * A connection that has fallen silent is noticed by a timeout only, and the next attempt may use one that fell silent at
 * the same time, or a peer that does not answer. One after the other, these attempts take longer than a change of the
 * watched keys may stay unnoticed.
 */
export function createHedgedStore({ store, alternatives, onRepeated }: HedgedStoreOptions): Store {
    async function watchAlternatives(prefix: string, after: number): Promise<WatchResult> {
        const result = await firstAnswer(alternatives.map((path) => path.watch(prefix, after, 0)));
        onRepeated?.(prefix, result.kind);
        return result;
    }

    async function watch(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
        let result: WatchResult | undefined;
        const first = store.watch(prefix, after, waitMs).then((given) => result = given);
        await waitAtMost(first, waitMs + watchOverdueMs);
        // The store limits the rate of calls, so it answers; more calls would keep the rate high.
        while (result === undefined || (result.kind === "unavailable" && result.isRateLimited !== true)) {
            const hasEnded = result !== undefined;
            const repeated = await Promise.race([watchAlternatives(prefix, after), onlyAnswer(first)]);
            if (hasEnded || isAnswer(repeated)) {
                return repeated;
            }
            await waitAtMost(first, retryMs);
        }
        return result;
    }

    return { ...store, watch };
}

function isAnswer(result: WatchResult): boolean {
    return result.kind !== "unavailable";
}

/** Resolves once the call has ended or the time is over. */
async function waitAtMost(call: Promise<unknown>, ms: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([call, new Promise((resolve) => timer = setTimeout(resolve, ms))]);
    clearTimeout(timer);
}

/** Resolves to the result of a call if it is an answer, and never otherwise. */
function onlyAnswer(call: Promise<WatchResult>): Promise<WatchResult> {
    return call.then((result) => isAnswer(result) ? result : new Promise<never>(() => {}));
}
