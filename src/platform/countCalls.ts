import type { Either } from "purify-ts";
import type { Platform } from "./platform";

/** Called after each call with its result: `ok`, or the kind of the failure. */
export type CallListener = (call: "read" | "write" | "watch" | "list", result: string) => void;

/**
 * Wraps a platform so that each call is reported to the listener. Each call counts against the platform's limit of
 * calls, also a watch that waits.
 */
export function countCalls(platform: Platform, listener: CallListener): Platform {
    async function reportCall<L extends { readonly kind: string; }, R>(
        call: Parameters<CallListener>[0],
        answer: Promise<Either<L, R>>,
    ): Promise<Either<L, R>> {
        const result = await answer;
        listener(call, result.caseOf({ Left: ({ kind }) => kind, Right: () => "ok" }));
        return result;
    }

    return {
        read: (key) => reportCall("read", platform.read(key)),
        compareAndSwap: (...args) => reportCall("write", platform.compareAndSwap(...args)),
        remove: (key) => reportCall("write", platform.remove(key)),
        watch: (...args) => reportCall("watch", platform.watch(...args)),
        listInstances: () => reportCall("list", platform.listInstances()),
        close: () => platform.close(),
    };
}
