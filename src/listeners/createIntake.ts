import { createTurns, type Turns } from "./createTurns";
import type { IntakeLimits } from "./intakeLimits";

/** What all listeners of a process share. */
export interface Intake {
    readonly limits: IntakeLimits;
    readonly turns: Turns;
}

/** Requests that all listeners begin in one turn of the event loop. */
const maxRequestsPerTurn = 64;

export function createIntake(limits: IntakeLimits): Intake {
    return { limits, turns: createTurns(maxRequestsPerTurn) };
}
