import type { Wave } from "../policy";
import type { Machine } from "./machines";

export interface UpkeepOptions {
    readonly wave: Wave;
    readonly machines: ReadonlyMap<string, Machine>;
    /** Machines whose upkeep for this wave has begun. */
    readonly begun: ReadonlySet<string>;
    /** Machines that have been gone from the platform's list long enough to count as removed. */
    readonly removed: ReadonlySet<string>;
    /** Machines whose upkeep was ordered and that have not been seen back. */
    readonly down: ReadonlySet<string>;
    /** Runs that a machine still has; `undefined` where that is not known. */
    readonly runsOn: (machine: Machine) => number | undefined;
    /** Whether a machine's pool can't do without it, or it is on its way to one that waits for it. */
    readonly isNeeded: (machine: Machine) => boolean;
    /** There is time enough to leave machines alone that are needed. */
    readonly mayWait: boolean;
    /** Machines that are being emptied for the wave. */
    readonly isEmptying: (id: string) => boolean;
    /** Machines that can't be used anyway, as their availability zone is under evacuation. */
    readonly isUnused: (machine: Machine) => boolean;
}

export interface UpkeepChoice {
    /** Machines that can go down now. */
    readonly now: readonly string[];
    /** Machines to be emptied: those that go next. */
    readonly prepare: readonly string[];
    readonly isComplete: boolean;
}

/**
 * Machines that are emptied ahead, beyond those that may be down at once. Emptying takes about as long as an upkeep, and
 * a wave of one machine at a time would otherwise take twice as long.
 */
const preparedAhead = 1;

/**
 * Which machines of a wave go down now, and which are to be emptied for it: empty ones first, then the least used; those
 * that are needed only when the wave has no time left to wait.
 *
 * A machine that is being emptied stays chosen. Its pool misses its room from then on, so it would count as needed and be
 * given back with its tasks half gone: they were stopped and started there four times in six seconds, and its upkeep came
 * after the wave was due.
 */
export function chooseUpkeep(opts: UpkeepOptions): UpkeepChoice {
    const { wave, machines, begun, removed, down } = opts;
    const countRuns = (machine: Machine) => opts.runsOn(machine) ?? Number.MAX_SAFE_INTEGER;
    const open = wave.machines.filter((id) => !begun.has(id) && !removed.has(id));
    const room = Math.max(0, wave.maxDown - wave.machines.filter((id) => down.has(id)).length);
    const sorted = open
        .map((id) => machines.get(id))
        .filter((machine): machine is Machine => machine?.state === "up")
        .filter((machine) => !opts.mayWait || opts.isEmptying(machine.id) || !opts.isNeeded(machine))
        .sort((a, b) =>
            countRuns(a) - countRuns(b) || Number(opts.isEmptying(b.id)) - Number(opts.isEmptying(a.id))
            || Number(opts.isUnused(b)) - Number(opts.isUnused(a))
        );
    const now = sorted.filter((machine) => opts.runsOn(machine) === 0).slice(0, room).map(({ id }) => id);
    return {
        now,
        prepare: sorted.slice(0, wave.maxDown + preparedAhead).map(({ id }) => id),
        isComplete: open.length === 0,
    };
}
