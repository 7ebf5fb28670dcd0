/** A worker that may run a step, and the ticket that the start request has to carry. */
export interface Permit {
    readonly workerId: string;
    readonly ticket: string;
}

export type AdviceResult =
    | { readonly kind: "permits"; readonly permits: readonly Permit[]; readonly validityMs: number; }
    /** The service rejected the request because too many requests wait there. */
    | { readonly kind: "busy"; }
    | { readonly kind: "noAnswer"; readonly detail: string; };

/** Client of the service that decides which workers may run a step under its queue's policy. */
export interface AdviceClient {
    ask(step: string, workerIds: readonly string[]): Promise<AdviceResult>;
}
