import type { Configuration } from "../configuration";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import type { Platform } from "../platform";
import type { Workers } from "../workers";

/** How often things are looked at, in milliseconds unless the name says otherwise. */
export interface ExecutorTiming {
    /** Between two looks at the plans that this entry carries out. */
    readonly tickMs: number;
    /** An entry that is n-th in line for a plan takes part when nothing has happened for n times this long. */
    readonly takeoverMs: number;
    /** Good answers in a row that prove an instance healthy. */
    readonly healthyChecks: number;
    /** Between two rounds of probes. */
    readonly probeEveryMs: number;
    /** Most probes in one round. */
    readonly probesPerRound: number;
    /** An instance that has not answered for this long, three times at least, may be reported lost. */
    readonly silentLostMs: number;
    /** Least time between two readings of the instance list; it grows with the fleet. */
    readonly listEveryMs: number;
}

export interface ExecutorOptions {
    readonly configuration: Configuration;
    readonly peers: Peers;
    readonly platform: Platform;
    readonly workers: Workers;
    readonly report: Reporter;
    readonly timing?: Partial<ExecutorTiming>;
}

/** Carries out confirmed plans, and watches over instances. */
export interface Executor {
    start(): void;
    /** Begins nothing more; what is under way is resumed by another entry. */
    stop(): Promise<void>;
}

export const defaultTiming: ExecutorTiming = {
    tickMs: 500,
    takeoverMs: 5000,
    healthyChecks: 3,
    probeEveryMs: 1000,
    probesPerRound: 10,
    silentLostMs: 12_000,
    listEveryMs: 2000,
};
