import type { Either } from "purify-ts";
import type { Platform } from "./platform";

/** Told after each call with its result: `ok`, or the kind of the failure. */
export type CallListener = (call: "read" | "write" | "watch" | "list", result: string) => void;

/** The same platform, with every call told to the listener; the service counts each one, a waiting watch too. */
export function countCalls(platform: Platform, listener: CallListener): Platform {
    async function counted<L extends { readonly kind: string; }, R>(
        call: Parameters<CallListener>[0],
        answer: Promise<Either<L, R>>,
    ): Promise<Either<L, R>> {
        const result = await answer;
        listener(call, result.caseOf({ Left: ({ kind }) => kind, Right: () => "ok" }));
        return result;
    }

    return {
        read: (key) => counted("read", platform.read(key)),
        compareAndSwap: (...args) => counted("write", platform.compareAndSwap(...args)),
        remove: (key) => counted("write", platform.remove(key)),
        watch: (...args) => counted("watch", platform.watch(...args)),
        listInstances: () => counted("list", platform.listInstances()),
        close: () => platform.close(),
    };
}
