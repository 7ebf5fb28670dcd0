import type { Wave } from "../policy";
import type { Machine } from "./machines";

export interface MaintenanceOptions {
    readonly wave: Wave;
    /** Machines of the fleet, by id. */
    readonly machines: ReadonlyMap<string, Machine>;
    /** Machines whose maintenance for this wave has begun. */
    readonly begun: ReadonlySet<string>;
    /** Machines that have been absent from the platform's list for long enough to count as removed. */
    readonly removed: ReadonlySet<string>;
    /** Machines whose maintenance was ordered and that have not been seen up again. */
    readonly down: ReadonlySet<string>;
    /** Number of runs on a machine; `undefined` where it is not known. */
    readonly runsOn: (machine: Machine) => number | undefined;
    /** Whether the machine's pool can't spare it, or it is on its way to a pool that waits for it. */
    readonly isNeeded: (machine: Machine) => boolean;
    /** The wave has enough time left to put off machines that are needed. */
    readonly mayWait: boolean;
    /** Whether a machine is being emptied for the wave. */
    readonly isEmptying: (id: string) => boolean;
    /** Whether a machine can't be used anyway, because its availability zone is under evacuation. */
    readonly isUnusable: (machine: Machine) => boolean;
}

/** What happens next in a wave. */
export interface MaintenanceChoice {
    /** Machines that can go down now. */
    readonly startNow: readonly string[];
    /** Machines to empty, which go down next. */
    readonly emptyNext: readonly string[];
    /** The maintenance of each machine of the wave has begun, or the machine was removed. */
    readonly isComplete: boolean;
}

/**
 * Machines that are emptied in advance, beyond the number that may be down at once. Emptying takes about as long as the
 * maintenance, so a wave of one machine at a time would otherwise take twice as long.
 */
const emptiedInAdvance = 1;

/**
 * Chooses the machines of a wave that go down now, and those that are emptied next. Empty machines come first, then those
 * with the fewest runs. Machines that are needed are chosen only if the wave can't wait any longer.
 *
 * A machine that is being emptied stays chosen. From then on its pool lacks its capacity, so it would count as needed and
 * go back to its pool with half of its tasks stopped. Its tasks would be stopped and started there again and again, such as
 * four times in six seconds, and its maintenance would begin after the wave is due.
 */
export function chooseMaintenance(opts: MaintenanceOptions): MaintenanceChoice {
    const { wave, machines, begun, removed, down } = opts;
    const countRuns = (machine: Machine) => opts.runsOn(machine) ?? Number.MAX_SAFE_INTEGER;
    const open = wave.machines.filter((id) => !begun.has(id) && !removed.has(id));
    const allowedDown = Math.max(0, wave.maxDown - wave.machines.filter((id) => down.has(id)).length);
    const candidates = open
        .map((id) => machines.get(id))
        .filter((machine): machine is Machine => machine?.state === "up")
        .filter((machine) => !opts.mayWait || opts.isEmptying(machine.id) || !opts.isNeeded(machine))
        .sort((a, b) =>
            countRuns(a) - countRuns(b) || Number(opts.isEmptying(b.id)) - Number(opts.isEmptying(a.id))
            || Number(opts.isUnusable(b)) - Number(opts.isUnusable(a))
        );
    const now = candidates.filter((machine) => opts.runsOn(machine) === 0).slice(0, allowedDown).map(({ id }) => id);
    return {
        startNow: now,
        emptyNext: candidates.slice(0, wave.maxDown + emptiedInAdvance).map(({ id }) => id),
        isComplete: open.length === 0,
    };
}
