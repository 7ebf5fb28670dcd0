import type { Resources } from "../resources";

/** What a worker says of itself in the platform's store. */
export interface WorkerEntry {
    readonly id: string;
    readonly bornMs: number;
    readonly pool: string;
    readonly address: string;
    readonly zone: string;
    readonly isDraining: boolean;
    /** How much longer a draining worker stays at least, in milliseconds. */
    readonly drainLeftMs: number;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    readonly rack: string;
}

/** Turns what workers write into the product's types; `undefined` where it names no worker to use. */
export interface WorkerDecoder {
    readonly prefix: string;
    decode(key: string, text: string): WorkerEntry | undefined;
    /** The worker's id, also where its entry can't be read. */
    idOf(key: string): string;
}
