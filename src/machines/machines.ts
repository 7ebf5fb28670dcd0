import type { Resources } from "../resources";

export type MachineState = "up" | "moving" | "maintenance" | "down";

/** A machine of the fleet. It keeps its id while its workers, which are its incarnations, come and go. */
export interface Machine {
    readonly id: string;
    readonly pool: string;
    readonly state: MachineState;
    readonly zone: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** The worker that runs on it now; `undefined` where there is none. */
    readonly workerId: string | undefined;
}

export type MachineListResult =
    | { readonly kind: "machines"; readonly machines: readonly Machine[]; }
    | { readonly kind: "noAnswer"; readonly detail: string; };

export type MachineOrderResult =
    /** The order is being carried out, or was carried out before. */
    | { readonly kind: "done"; }
    /** The machine has had an order with a higher fencing token. */
    | { readonly kind: "fenced"; }
    /** The machine is not up, or is leaving. */
    | { readonly kind: "busy"; }
    /** The machine doesn't exist, can't join that pool, or doesn't belong to that wave. */
    | { readonly kind: "impossible"; readonly detail: string; }
    /** Nothing was done: all entries together have sent too many orders, or the API is down. */
    | { readonly kind: "notNow"; readonly detail: string; }
    /** No answer: the order may be carried out, now or later. */
    | { readonly kind: "noAnswer"; readonly detail: string; };

/** Who sends an order: the platform checks the lease holder and its fencing token. */
export interface MachineOrderer {
    readonly holder: string;
    readonly token: number;
}

/** The platform's API for machines. Each call is made once; callers decide and retry. */
export interface MachineApi {
    list(): Promise<MachineListResult>;
    /** Moves the machine to another pool. */
    move(machine: string, pool: string, orderer: MachineOrderer): Promise<MachineOrderResult>;
    /** Takes the machine down for the maintenance of a wave. */
    maintain(machine: string, wave: number, orderer: MachineOrderer): Promise<MachineOrderResult>;
}
