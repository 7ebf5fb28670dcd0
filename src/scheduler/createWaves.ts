import type { Clocks } from "../clock";
import { chooseUpkeep, hasSlack, type Machine, type MachineOrder, type MachineOrders } from "../machines";
import type { Wave } from "../policy";
import type { Board, Run, Worker } from "../schedule";
import { chooseEvacuations } from "./chooseEvacuations";
import type { FleetView } from "./createFleetView";
import { countStaying, emptyingMs } from "./emptyingMs";

export interface WavesOptions {
    readonly board: Board;
    readonly clocks: Clocks;
    readonly view: FleetView;
    readonly orders: MachineOrders;
    readonly waves: () => readonly Wave[];
    readonly standby: () => string | undefined;
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** How long an upkeep takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Longest time that a stop takes on a worker, in milliseconds. */
    readonly maxStopMs: number;
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    stop(run: Run, reason: string): void;
}

/** What a round of decisions has to know of the waves that are not complete. */
export interface OpenWave {
    readonly wave: Wave;
    /** There is time enough to leave machines to a pool that is short of them. */
    readonly mayWait: boolean;
}

export interface Waves {
    listOpen(): readonly OpenWave[];
    /**
     * Empties machines and gives the upkeeps to be ordered now.
     *
     * @param isNeeded whether work waits for a machine, or its pool can't do without it
     */
    decide(open: OpenWave, isNeeded: (machine: Machine) => boolean): readonly MachineOrder[];
    /** Machines that are being emptied for a wave. */
    isEmptying(id: string): boolean;
}

/** How long a machine may wait to be empty before its upkeep begins all the same, in milliseconds. */
const maxEmptyingMs = 2500;

/** A machine missing from the platform's list for this long counts as removed, in milliseconds. */
const removedAfterMs = 5000;

/** Takes waves of upkeep through the fleet. */
export function createWaves(opts: WavesOptions): Waves {
    const { board, clocks, view, orders } = opts;
    const { machines } = view;
    const absentSince = new Map<string, number>();
    const emptyingSince = new Map<string, number>();
    const reported = new Map<number, boolean>();

    /**
     * A worker that has not been asked yet, as right after a change of owners, may run anything; taking its machine down
     * for empty would end tasks whose steps bear no more of them away.
     */
    function countRuns(machine: Machine): number | undefined {
        if (machine.pool === opts.standby()) {
            return 0;
        }
        const worker = view.workerOf(machine);
        return worker?.runList.kind === "read" && worker.strays === 0 ? worker.runs.size : undefined;
    }

    function isEvacuated({ zone }: Machine): boolean {
        return opts.evacuatedZones().has(zone);
    }

    function isOccupied(id: string): boolean {
        const machine = machines.get(id);
        return machine !== undefined && (countRuns(machine) ?? 0) > 0;
    }

    /** Takes work off a machine that is to go down, as far as the availability of each step allows. */
    function empty(id: string): void {
        const worker = view.workerOf(machines.get(id));
        if (worker === undefined) {
            return;
        }
        worker.isReserved = true;
        const nowMs = clocks.steadyMs();
        const sinceMs = emptyingSince.get(id) ?? nowMs;
        emptyingSince.set(id, sinceMs);
        const isUrgent = nowMs - sinceMs > maxEmptyingMs;
        for (const run of chooseEvacuations(worker, { board, isUrgent, nowMs, maxStopMs: opts.maxStopMs })) {
            opts.stop(run, "its machine is due for maintenance");
        }
    }

    /** Gives machines back to their pools that were being emptied and are not to go down next any more. */
    function release(wave: Wave, prepared: readonly string[]): void {
        for (const id of wave.machines) {
            if (!emptyingSince.has(id) || prepared.includes(id) || !view.isFree(id)) {
                continue;
            }
            emptyingSince.delete(id);
            const worker = view.workerOf(machines.get(id));
            if (worker !== undefined) {
                worker.isReserved = false;
            }
        }
    }

    /** A machine that changes its pool may be missing from a list for a moment; one that was taken away stays missing. */
    function findRemoved(wave: Wave): ReadonlySet<string> {
        const nowMs = clocks.steadyMs();
        const removed = new Set<string>();
        for (const id of wave.machines) {
            if (machines.has(id)) {
                absentSince.delete(id);
                continue;
            }
            const sinceMs = absentSince.get(id) ?? nowMs;
            absentSince.set(id, sinceMs);
            if (nowMs - sinceMs > removedAfterMs) {
                removed.add(id);
            }
        }
        return removed;
    }

    function workersDue({ wave, machines: ids }: Wave): readonly Worker[] {
        const begun = orders.begun(wave);
        return ids.filter((id) => !begun.has(id)).flatMap((id) => view.workerOf(machines.get(id)) ?? []);
    }

    /** Whether the wave will be in time though it leaves alone a machine that takes this long to empty, or any machine. */
    function mayWait(wave: Wave, longestEmptyingMs = 0): boolean {
        return hasSlack({
            wave,
            begun: orders.begun(wave.wave),
            sinceMs: Date.now() - orders.waveSeenAtMs(wave.wave),
            maintenanceMs: opts.maintenanceMs,
            emptyingMs: longestEmptyingMs,
        });
    }

    /** Machines of the wave that take so long to empty that it has to be begun now. */
    function findSlow(wave: Wave): ReadonlySet<string> {
        const counts = countStaying(workersDue(wave));
        const slow = wave.machines.filter((id) => {
            const worker = view.workerOf(machines.get(id));
            const neededMs = worker === undefined ? 0 : emptyingMs(worker, counts, opts.maxStopMs);
            return neededMs > 0 && !mayWait(wave, neededMs);
        });
        return new Set(slow);
    }

    async function note(wave: Wave, isComplete: boolean): Promise<void> {
        if (reported.get(wave.wave) === isComplete || reported.get(wave.wave) === true) {
            return;
        }
        reported.set(wave.wave, isComplete);
        if (!await opts.reportWave(wave.wave, isComplete)) {
            reported.delete(wave.wave);
        }
    }

    return {
        listOpen: () =>
            opts.waves().filter(({ wave }) => reported.get(wave) !== true).map((wave) => ({
                wave,
                mayWait: mayWait(wave),
            })),
        isEmptying: (id) => emptyingSince.has(id),
        decide(open, isNeeded) {
            const { wave } = open;
            const slow = findSlow(wave);
            const onUpkeep = view.onUpkeep(wave.wave);
            const down = new Set(onUpkeep.map(({ machine }) => machine));
            // What an earlier owner has just ordered may not show in the list yet.
            wave.machines
                .filter((id) => machines.get(id)?.state === "maintenance" || orders.isBlocked(id))
                .forEach((id) => down.add(id));
            const begun = orders.begun(wave.wave);
            const choice = chooseUpkeep({
                wave,
                machines,
                begun,
                removed: findRemoved(wave),
                down,
                runsOn: countRuns,
                isNeeded: (machine) => isNeeded(machine) && !slow.has(machine.id) && !isEvacuated(machine),
                mayWait: open.mayWait,
                isEmptying: (id) => emptyingSince.has(id),
                isUnused: isEvacuated,
            });
            void note(wave, choice.isComplete && view.isKnown());
            wave.machines.filter((id) => begun.has(id)).forEach((id) => emptyingSince.delete(id));
            const unanswered = onUpkeep.filter(({ isUnanswered }) => isUnanswered);
            // The order may have been lost, and the machine's next worker has taken work before it is sent again.
            const occupied = unanswered.filter((upkeep) => !upkeep.isSeen && isOccupied(upkeep.machine));
            [...choice.prepare.filter(view.isFree), ...occupied.map(({ machine }) => machine)].forEach(empty);
            release(wave, choice.prepare);
            const again = unanswered.filter((upkeep) => !occupied.includes(upkeep)).map(({ machine }) => machine);
            return [...choice.now.filter(view.isFree), ...again].map((machine) => ({
                kind: "maintain",
                machine,
                wave: wave.wave,
            }));
        },
    };
}
