import type { Wave } from "../policy";

export interface SlackOptions {
    readonly wave: Wave;
    /** Machines whose upkeep for this wave has begun. */
    readonly begun: ReadonlySet<string>;
    /** Time since the wave was first seen, in milliseconds. */
    readonly sinceMs: number;
    /** How long an upkeep takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** How long the machine in question takes to be emptied, in milliseconds; 0 where the whole wave is meant. */
    readonly emptyingMs?: number;
}

/** What a round of upkeep takes beside the upkeep itself, in milliseconds: emptying, the list's lag, a decision. */
const roundOverheadMs = 3000;

/** Rounds of a wave take up to this much longer than planned: owners change, machines are busy, orders get no answer. */
const safetyFactor = 1.4;

/**
 * Left at the end in any case, in milliseconds: a machine that is chosen in a turn ends its short tasks first, and an owner may
 * change. With 3 s, one to three of some hundred machines were up to 2 s late.
 */
const reserveMs = 5000;

/**
 * Whether a wave will be in time though it leaves machines alone for now.
 *
 * A wave that comes in the middle of a queue's turn would take machines down that its tasks wait for, while the same
 * machines stand idle a few seconds later.
 */
export function hasSlack({ wave, begun, sinceMs, maintenanceMs, emptyingMs = 0 }: SlackOptions): boolean {
    const left = wave.machines.filter((id) => !begun.has(id)).length;
    const rounds = Math.ceil(left / Math.max(1, wave.maxDown));
    const roundsMs = rounds * (maintenanceMs + roundOverheadMs);
    const neededMs = Math.max(roundsMs, emptyingMs + maintenanceMs) * safetyFactor + reserveMs;
    return wave.completeByS * 1000 - sinceMs > neededMs;
}
