import type { TaskSize } from "../workers";

/** The most that a team may have running at any moment in the whole fleet. */
export interface UpperLimit extends TaskSize {
    readonly tasks: number;
}

/** A key as it is kept: only its hash. */
export interface TeamKey {
    /** SHA-256 of the key, in hexadecimal. */
    readonly hash: string;
    readonly grantedAtMs: number;
}

export interface Team {
    readonly name: string;
    /** Relative share of a full fleet. */
    readonly weight: number;
    readonly limit: UpperLimit;
    /** Pools that the team may use. */
    readonly pools: readonly string[];
    /** Granted keys by key id; a withdrawn key is no longer here. */
    readonly keys: Readonly<Record<string, TeamKey>>;
}

export interface Pool {
    readonly name: string;
    /** Availability budget: the most instances that may be unavailable at once. */
    readonly maxUnavailable: number;
}

/** What operators state of an instance. */
export interface InstanceSpec {
    readonly name: string;
    readonly url: string;
    readonly region: string;
    readonly zone: string;
    readonly rack: string;
    readonly slots: number;
    readonly capacity: TaskSize;
    readonly pool: string;
}

/** An instance with its one pool; `assignmentNumber` grows with each hand-over. */
export interface Instance extends InstanceSpec {
    readonly assignmentNumber: number;
    readonly state: { readonly kind: "serving"; };
}

/** Everything that entries agree on. */
export interface FleetState {
    /** Number of commands applied since the beginning. */
    readonly revision: number;
    readonly pools: Readonly<Record<string, Pool>>;
    readonly instances: Readonly<Record<string, Instance>>;
    readonly teams: Readonly<Record<string, Team>>;
    /** Operators' credentials by name, as SHA-256 in hexadecimal. */
    readonly operators: Readonly<Record<string, string>>;
}

/** One change that takes effect at once. */
export type Change =
    | { readonly kind: "setPool"; readonly pool: Pool; }
    | { readonly kind: "removePool"; readonly name: string; }
    | { readonly kind: "setTeam"; readonly team: Omit<Team, "keys">; }
    | { readonly kind: "removeTeam"; readonly name: string; }
    | { readonly kind: "grantKey"; readonly team: string; readonly keyId: string; readonly key: TeamKey; }
    | { readonly kind: "withdrawKey"; readonly keyId: string; }
    | { readonly kind: "addInstance"; readonly instance: InstanceSpec; }
    | { readonly kind: "setOperator"; readonly name: string; readonly credentialHash: string; };

/** What one entry of the log asks for; all of it is applied, or none. */
export type Command = { readonly kind: "change"; readonly changes: readonly Change[]; };

/** A command as it stands in the log. */
export interface CommandRecord {
    /** Made by the writer; tells its own write from another's after a lost answer. */
    readonly id: string;
    /** Who asked: an operator's name, or the boot of the entry that carries out a plan. */
    readonly by: string;
    readonly atMs: number;
    readonly reason: string;
    readonly command: Command;
}

/** Why a command does not apply to the state it met. */
export interface Rejection {
    readonly kind: "rejected";
    readonly detail: string;
}
