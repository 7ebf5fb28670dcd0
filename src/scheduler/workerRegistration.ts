import type { Resources } from "../resources";

/** A worker's registration in the platform's store, written by the worker. */
export interface WorkerRegistration {
    readonly id: string;
    readonly bornMs: number;
    readonly pool: string;
    readonly address: string;
    readonly zone: string;
    readonly isDraining: boolean;
    /** Minimum time that a draining worker keeps running, in milliseconds. */
    readonly drainLeftMs: number;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    readonly rack: string;
}

/** Decodes worker registrations from the platform's store. */
export interface WorkerDecoder {
    readonly prefix: string;
    /** Returns `undefined` if the text describes no usable worker. */
    decode(key: string, text: string): WorkerRegistration | undefined;
    /** Returns the worker's id, also if its registration can't be decoded. */
    idOf(key: string): string;
}
