/** A worker that may run a step, and the permission that a start has to carry. */
export interface Permit {
    readonly workerId: string;
    readonly ticket: string;
}

export type AdviceResult =
    | { readonly kind: "permits"; readonly permits: readonly Permit[]; readonly validityMs: number; }
    /** Too many questions wait there. */
    | { readonly kind: "busy"; }
    | { readonly kind: "noAnswer"; readonly detail: string; };

/** The service that knows which workers a queue's policy allows for a step. */
export interface Advice {
    ask(step: string, workerIds: readonly string[]): Promise<AdviceResult>;
}
