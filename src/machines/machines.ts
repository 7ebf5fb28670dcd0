import type { Resources } from "../resources";

export type MachineState = "up" | "moving" | "maintenance" | "down";

/** A machine of the fleet; it stays while workers, its lives, come and go. */
export interface Machine {
    readonly id: string;
    readonly pool: string;
    readonly state: MachineState;
    readonly zone: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** The worker that runs on it now. */
    readonly workerId: string | undefined;
}

export type MachineListResult =
    | { readonly kind: "machines"; readonly machines: readonly Machine[]; }
    | { readonly kind: "noAnswer"; readonly detail: string; };

export type MachineOrderResult =
    /** It is being done, or was done before. */
    | { readonly kind: "done"; }
    /** A higher token has ordered this machine. */
    | { readonly kind: "fenced"; }
    /** Not up, or leaving. */
    | { readonly kind: "busy"; }
    /** The machine is not of this wave, does not exist, or cannot join that pool. */
    | { readonly kind: "impossible"; readonly detail: string; }
    /** Nothing was done; too many orders of all entries together, or the interface is down. */
    | { readonly kind: "notNow"; readonly detail: string; }
    /** It may be carried out, now or later. */
    | { readonly kind: "noAnswer"; readonly detail: string; };

/** Who orders, for the platform's checks. */
export interface MachineOrderer {
    readonly holder: string;
    readonly token: number;
}

/** What the platform offers for machines; nothing here decides or tries again. */
export interface Machines {
    list(): Promise<MachineListResult>;
    move(machine: string, pool: string, orderer: MachineOrderer): Promise<MachineOrderResult>;
    /** Takes the machine down for the upkeep of a wave. */
    maintain(machine: string, wave: number, orderer: MachineOrderer): Promise<MachineOrderResult>;
}
