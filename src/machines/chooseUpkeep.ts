import type { Wave } from "../policy";
import type { Machine } from "./machines";

export interface UpkeepOptions {
    readonly wave: Wave;
    readonly machines: ReadonlyMap<string, Machine>;
    /** Machines whose upkeep has been ordered for this wave. */
    readonly ordered: ReadonlySet<string>;
    /** Machines whose upkeep was ordered and that have not been seen back. */
    readonly down: ReadonlySet<string>;
    /** Runs that a machine still has. */
    readonly runsOn: (machine: Machine) => number;
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

/** Which machines of a wave go down now, and which are to be emptied for it: empty ones first, then the least used. */
export function chooseUpkeep(opts: UpkeepOptions): UpkeepChoice {
    const { wave, machines, ordered, down } = opts;
    const open = wave.machines
        .filter((id) => !ordered.has(id))
        .map((id) => machines.get(id))
        .filter((machine) => machine !== undefined);
    const room = Math.max(0, wave.maxDown - wave.machines.filter((id) => down.has(id)).length);
    const sorted = open
        .filter(({ state }) => state === "up")
        .sort((a, b) => opts.runsOn(a) - opts.runsOn(b));
    const now = sorted.filter((machine) => opts.runsOn(machine) === 0).slice(0, room).map(({ id }) => id);
    return {
        now,
        prepare: sorted.slice(0, wave.maxDown + preparedAhead).map(({ id }) => id),
        isComplete: open.length === 0,
    };
}
