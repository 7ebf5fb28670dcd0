import type { Context } from "moleculer";
import type { Configuration } from "../configuration";
import type { Problem } from "../errors";
import type { HttpMeta } from "../http";
import type { Limits } from "../limits";
import type { Peers } from "../peers";
import type { FleetState } from "../state";

export interface OperatorsOptions {
    readonly configuration: Configuration;
    readonly peers: Peers;
    readonly limits: Pick<Limits, "readDivisions">;
    /** SHA-256 of a credential that is accepted besides those in the state. */
    readonly operatorHash: string | undefined;
}

/** A request of an operator whose credential has been accepted. */
export interface OperatorRequest {
    /** The operator's name. */
    readonly operator: string;
    readonly state: FleetState;
    /** Body and path parameters together, not checked yet. */
    readonly params: Readonly<Record<string, unknown>>;
}

export type OperatorContext = Context<Record<string, unknown>, HttpMeta>;

/** Answers a request; a problem becomes a problem document. */
export type Handler = (request: OperatorRequest) => Promise<unknown>;

export function isProblem(answer: unknown): answer is Problem {
    return typeof answer === "object" && answer !== undefined && "code" in (answer as object);
}
