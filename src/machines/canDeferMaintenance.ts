import type { Wave } from "../policy";

export interface DeferMaintenanceOptions {
    readonly wave: Wave;
    /** Machines whose maintenance for this wave has begun. */
    readonly begun: ReadonlySet<string>;
    /** Time since the wave was first seen, in milliseconds. */
    readonly sinceMs: number;
    /** How long the maintenance of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** How long it takes to empty the machine in question, in milliseconds; 0 where the wave as a whole is meant. */
    readonly emptyingMs?: number;
}

/**
 * Time of a maintenance round in addition to the maintenance, in milliseconds: emptying, the delay of the platform's list,
 * and the decision.
 */
const roundOverheadMs = 3000;

/** Rounds take up to this many times as long as planned: leaders change, machines are busy, orders get no answer. */
const safetyFactor = 1.4;

/**
 * Time kept in reserve at the end of a wave, in milliseconds. A machine that is chosen in a busy period finishes its short
 * tasks first, and the leader may change. With 3 s, one to three of some hundred machines were up to 2 s late.
 */
const finalReserveMs = 5000;

/**
 * Whether a wave will be complete in time although it puts off machines for now.
 *
 * A wave that comes in the middle of a queue's busy period would take down machines that its tasks wait for, while the same
 * machines are idle a few seconds later.
 */
export function canDeferMaintenance(
    { wave, begun, sinceMs, maintenanceMs, emptyingMs = 0 }: DeferMaintenanceOptions,
): boolean {
    const remaining = wave.machines.filter((id) => !begun.has(id)).length;
    const rounds = Math.ceil(remaining / Math.max(1, wave.maxDown));
    const roundsMs = rounds * (maintenanceMs + roundOverheadMs);
    const neededMs = Math.max(roundsMs, emptyingMs + maintenanceMs) * safetyFactor + finalReserveMs;
    return wave.completeByS * 1000 - sinceMs > neededMs;
}
