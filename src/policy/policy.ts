import type { Resources } from "../resources";

/** A queue: which requests it takes, where its tasks run and how they are treated. */
export interface Route {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    readonly service: string;
    /** Anybody may call it; no key is looked at. */
    readonly isPublic: boolean;
    /** 0 goes first and may preempt the others. */
    readonly priority: number;
    /** Failed runs of one task after which its submission has failed. */
    readonly maxAttempts: number;
    /** A submission should take at most this many times its longest chain of work. */
    readonly stretch: number;
    /** What a submission may take beyond its stretched chain. */
    readonly targetLatencyMs: number;
    /** How long a request to the queue may take. */
    readonly timeoutMs: number;
    /** The queue's steps may only run on workers that the advice service names. */
    readonly advice: AdviceTerms | undefined;
}

export interface AdviceTerms {
    readonly decisionMs: number;
    readonly perWorkerMs: number;
    readonly validityMs: number;
}

/** A pool of machines. */
export interface Service {
    readonly name: string;
    /** Its workers refuse what does not fit; others start whatever they are told to. */
    readonly rejectsOverload: boolean;
    /** Its machines are off and cost nothing. */
    readonly isStandby: boolean;
    readonly maxConnections: number;
}

export interface Tenant {
    readonly name: string;
    readonly keys: readonly string[];
    /** Share of a full fleet. */
    readonly weight: number;
    /** What it may have running on all workers; 0 for no limit. */
    readonly cap: Resources;
}

/** Limits on clients' requests. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The operators' configuration, confirmed by being in the platform's store. */
export interface Policy {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    readonly tenants: readonly Tenant[];
    readonly limits: RequestLimits;
}

/** A maintenance wave that an operator asks for. */
export interface Wave {
    readonly wave: number;
    readonly machines: readonly string[];
    readonly completeByS: number;
    /** Machines of it that may be down at once. */
    readonly maxDown: number;
}
