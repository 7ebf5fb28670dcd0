import type { TaskEnd } from "../tasks";
import type { Claim, Once } from "./once";

export interface OnceOptions {
    readonly boot: string;
}

/** Remembers keys in this entry's memory alone. */
export function createOnce(_opts: OnceOptions): Once {
    const known = new Map<string, { readonly end: Promise<TaskEnd>; settle(end: TaskEnd): void; }>();

    return {
        async admit(request) {
            const claim: Claim = { team: request.team, idempotencyKey: request.idempotencyKey ?? request.id };
            const entry = known.get(nameOf(claim));
            if (entry !== undefined) {
                return { kind: "ended", end: await entry.end };
            }
            let settle: (end: TaskEnd) => void = () => {};
            const end = new Promise<TaskEnd>((resolve) => {
                settle = resolve;
            });
            known.set(nameOf(claim), { end, settle });
            return { kind: "run", claim };
        },
        claim: () => Promise.resolve(undefined),
        settle(claim, end) {
            known.get(nameOf(claim))?.settle(end);
        },
        start() {},
        stop: () => Promise.resolve(),
    };
}

function nameOf(claim: Claim): string {
    return `${claim.team}\n${claim.idempotencyKey}`;
}
