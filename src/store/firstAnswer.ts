import type { StoreUnavailable } from "./store";

/** Resolves to the first answer of the store, or to the last failure if no call is answered. */
export function firstAnswer<R extends { readonly kind: string; }>(
    calls: readonly Promise<R | StoreUnavailable>[],
): Promise<R | StoreUnavailable> {
    return new Promise((resolve) => {
        let pendingCalls = calls.length;
        if (pendingCalls === 0) {
            resolve({ kind: "unavailable", detail: "there is no other path to the store" });
        }
        calls.forEach((call) =>
            void call.then((result) => {
                pendingCalls--;
                if (result.kind !== "unavailable" || pendingCalls === 0) {
                    resolve(result);
                }
            })
        );
    });
}
