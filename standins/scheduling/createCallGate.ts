type Calls = Readonly<Record<string, (...args: never[]) => Promise<unknown>>>;

/** Holds the calls of one process and their answers while it is frozen, and for good once it is gone. */
export interface CallGate {
    wrap<T extends object>(api: T): T;
    freeze(): void;
    wake(): void;
    close(): void;
}

export function createCallGate(): CallGate {
    let waiting: (() => void)[] = [];
    let state: "open" | "frozen" | "closed" = "open";

    async function pass(): Promise<void> {
        if (state !== "open") {
            await new Promise<void>((resolve) => waiting.push(resolve));
        }
    }

    function wrapCall(call: Calls[string]): Calls[string] {
        return async (...args) => {
            await pass();
            const answer = await call(...args);
            await pass();
            return answer;
        };
    }

    return {
        wrap: <T extends object>(api: T) =>
            Object.fromEntries(
                Object.entries(api as unknown as Calls).map(([name, call]) => [name, wrapCall(call)]),
            ) as T,
        freeze() {
            state = state === "open" ? "frozen" : state;
        },
        wake() {
            if (state === "frozen") {
                state = "open";
                waiting.forEach((resolve) => resolve());
                waiting = [];
            }
        },
        close() {
            state = "closed";
            waiting = [];
        },
    };
}
