import type { TaskSize } from "../workers";
import type { ConfirmedPlan, PlanState, WorkItem } from "./plan";
import type { Step } from "./step";

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
    /** Revision of the command that gave the limit its value; set by the reducer. */
    readonly limitRevision?: number;
    /** Pools that the team may use. */
    readonly pools: readonly string[];
    /** Granted keys by key id; a withdrawn key is no longer here. */
    readonly keys: Readonly<Record<string, TeamKey>>;
}

export interface Pool {
    readonly name: string;
    /** Availability budget: the most instances that may be unavailable at once. */
    readonly maxUnavailable: number;
    /** Part of the budget that planned work leaves alone, for the loss of a rack; 0 where absent. */
    readonly reserve?: number;
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

/** What a plan does with an instance that it has taken out of service, and since when the step lasts. */
interface Taken {
    readonly plan: string;
    readonly item: WorkItem;
    readonly sinceMs: number;
}

/** Why an instance counts as lost: no answer, leaving by the platform's list, or not come back from a plan's step. */
export type LossCause = "silent" | "leaving" | "failed";

/**
 * Where an instance stands. Only a serving one gets new work.
 *
 * - `draining`: takes no new work; what runs there ends.
 * - `drained`: the worker itself has confirmed, at this assignment number, that nothing runs there.
 * - `rebooting`: told to restart; it is back when it reports another boot than `workerBoot`.
 * - `proving`: told to serve, not yet proved healthy. `isJoining`: it is new in its pool and not yet counted there;
 *   `isAbandoned`: it comes back without the work having been done.
 * - `lost`: gone by itself, or not come back from what a plan did.
 */
export type InstanceState =
    | { readonly kind: "serving"; }
    | { readonly kind: "draining"; } & Taken
    | { readonly kind: "drained"; } & Taken
    | { readonly kind: "rebooting"; readonly workerBoot: string; } & Taken
    | { readonly kind: "proving"; readonly isJoining: boolean; readonly isAbandoned: boolean; } & Taken
    | { readonly kind: "lost"; readonly cause: LossCause; readonly sinceMs: number; };

/** An instance with its one pool; `assignmentNumber` grows with each hand-over. */
export interface Instance extends InstanceSpec {
    readonly assignmentNumber: number;
    readonly state: InstanceState;
    /** When a plan last brought it back from a reboot. */
    readonly maintainedAtMs?: number;
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
    /** Confirmed plans by id; of those that have ended only the newest. */
    readonly plans: Readonly<Record<string, PlanState>>;
    /** Ids of older plans that have ended, with the revision that confirmed them. */
    readonly endedPlans: Readonly<Record<string, number>>;
    /** A plan made before this revision may have been confirmed and forgotten, and is refused. */
    readonly plansForgottenRevision: number;
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

/**
 * What one entry of the log asks for.
 * All of it is applied, or none; of `steps` those that apply are, in their order, and at least one has to.
 */
export type Command =
    | { readonly kind: "change"; readonly changes: readonly Change[]; }
    | { readonly kind: "confirmPlan"; readonly plan: ConfirmedPlan; }
    | { readonly kind: "pausePlan"; readonly plan: string; }
    | { readonly kind: "resumePlan"; readonly plan: string; }
    | { readonly kind: "cancelPlan"; readonly plan: string; }
    | { readonly kind: "steps"; readonly steps: readonly Step[]; };

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
    /** What a plan touches that has changed since it was made, such as `pool stalls`. */
    readonly movedOn?: readonly string[];
}
