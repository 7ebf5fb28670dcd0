import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import {
    canDeferMaintenance,
    chooseMaintenance,
    type Machine,
    type MachineOrder,
    type MachineOrders,
} from "../machines";
import type { Wave } from "../policy";
import type { Run, SchedulerState, Worker } from "../schedule";
import { chooseEvictions } from "./chooseEvictions";
import type { FleetView } from "./createFleetView";
import { countLongRunningTasks, minEmptyingMs } from "./minEmptyingMs";

export interface WaveControllerOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly tenure: Pick<Tenure, "mayInterrupt">;
    readonly view: FleetView;
    readonly orders: MachineOrders;
    readonly waves: () => readonly Wave[];
    readonly standby: () => string | undefined;
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** How long the maintenance of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Longest time that a worker takes to stop a task, in milliseconds. */
    readonly maxStopMs: number;
    /** Writes the state of a wave for the operators. Resolves to `false` if it is not in the store. */
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    stop(run: Run, reason: string): void;
}

/** A maintenance wave that is not complete. */
export interface OpenWave {
    readonly wave: Wave;
    /** Whether there is enough time to leave machines in a pool that is short of capacity. */
    readonly mayWait: boolean;
}

export interface WaveController {
    /** Lists the waves that have not been reported as complete. */
    listOpen(): readonly OpenWave[];
    /**
     * Empties machines of a wave and returns the maintenance orders to send now.
     *
     * @param isNeeded whether work waits for a machine, or its pool can't do without it
     */
    decide(open: OpenWave, isNeeded: (machine: Machine) => boolean): readonly MachineOrder[];
    /** Whether a machine is being emptied for a wave. */
    isEmptying(id: string): boolean;
}

/**
 * How long a machine may take to become empty, in milliseconds. After that its tasks are stopped even if no other worker
 * can take them.
 */
const maxEmptyingMs = 2500;

/** A machine that is missing from the platform's list for this long counts as removed, in milliseconds. */
const removedAfterMs = 5000;

/** Carries out maintenance waves: empties their machines, orders the maintenance and reports complete waves. */
export function createWaveController(opts: WaveControllerOptions): WaveController {
    const { state, clocks, view, orders } = opts;
    const { machines } = view;
    const missingSinceMs = new Map<string, number>();
    const emptyingSinceMs = new Map<string, number>();
    const reportedStates = new Map<number, boolean>();

    /**
     * Returns the number of runs on a machine, or `undefined` if it is not known. A worker that has not been polled
     * yet, such as after a change of leader, may run anything. Treating its machine as empty and taking it down would
     * end tasks whose steps allow no more unavailable tasks.
     */
    function countRuns(machine: Machine): number | undefined {
        if (machine.pool === opts.standby()) {
            return 0;
        }
        const worker = view.workerOf(machine);
        return worker?.runList.kind === "read" && worker.strayRunCount === 0 ? worker.runs.size : undefined;
    }

    function isEvacuated({ zone }: Machine): boolean {
        return opts.evacuatedZones().has(zone);
    }

    function isOccupied(id: string): boolean {
        const machine = machines.get(id);
        return machine !== undefined && (countRuns(machine) ?? 0) > 0;
    }

    /** Stops tasks on a machine that is due for maintenance, as far as `maxUnavailable` of each step allows. */
    function emptyMachine(id: string): void {
        const worker = view.workerOf(machines.get(id));
        if (worker === undefined) {
            return;
        }
        worker.isReserved = true;
        const nowMs = clocks.monotonicMs();
        const sinceMs = emptyingSinceMs.get(id) ?? nowMs;
        emptyingSinceMs.set(id, sinceMs);
        const isUrgent = nowMs - sinceMs > maxEmptyingMs;
        const mayInterrupt = opts.tenure.mayInterrupt();
        const { maxStopMs } = opts;
        for (const run of chooseEvictions(worker, { state, mayInterrupt, isUrgent, nowMs, maxStopMs })) {
            opts.stop(run, "its machine is due for maintenance");
        }
    }

    /**
     * Gives machines back to their pools if they were being emptied and are no longer among the next to be maintained.
     */
    function releaseMachines(wave: Wave, prepared: readonly string[]): void {
        for (const id of wave.machines) {
            if (!emptyingSinceMs.has(id) || prepared.includes(id) || !view.isOrderable(id)) {
                continue;
            }
            emptyingSinceMs.delete(id);
            const worker = view.workerOf(machines.get(id));
            if (worker !== undefined) {
                worker.isReserved = false;
            }
        }
    }

    /**
     * Finds removed machines. A machine that changes its pool may be missing from a list briefly. A removed one stays
     * missing.
     */
    function findRemoved(wave: Wave): ReadonlySet<string> {
        const nowMs = clocks.monotonicMs();
        const removedIds = new Set<string>();
        for (const id of wave.machines) {
            if (machines.has(id)) {
                missingSinceMs.delete(id);
                continue;
            }
            const sinceMs = missingSinceMs.get(id) ?? nowMs;
            missingSinceMs.set(id, sinceMs);
            if (nowMs - sinceMs > removedAfterMs) {
                removedIds.add(id);
            }
        }
        return removedIds;
    }

    /** Workers on the wave's machines whose maintenance has not begun. */
    function workersDue({ wave, machines: ids }: Wave): readonly Worker[] {
        const begun = orders.begun(wave);
        return ids.filter((id) => !begun.has(id)).flatMap((id) => view.workerOf(machines.get(id)) ?? []);
    }

    /**
     * Whether the wave meets its deadline although it defers a machine.
     *
     * @param longestEmptyingMs time that it takes to empty the deferred machine, in milliseconds; 0 for any machine
     */
    function mayWait(wave: Wave, longestEmptyingMs = 0): boolean {
        return canDeferMaintenance({
            wave,
            begun: orders.begun(wave.wave),
            sinceMs: Date.now() - orders.waveSeenAtMs(wave.wave),
            maintenanceMs: opts.maintenanceMs,
            emptyingMs: longestEmptyingMs,
        });
    }

    /** Machines of the wave that take so long to empty that the emptying has to begin now. */
    function findSlowToEmpty(wave: Wave): ReadonlySet<string> {
        const counts = countLongRunningTasks(workersDue(wave));
        const slowToEmpty = wave.machines.filter((id) => {
            const worker = view.workerOf(machines.get(id));
            const neededMs = worker === undefined ? 0 : minEmptyingMs(worker, counts, opts.maxStopMs);
            return neededMs > 0 && !mayWait(wave, neededMs);
        });
        return new Set(slowToEmpty);
    }

    /** Reports a changed completion state once. A complete wave stays complete. */
    async function reportCompletion(wave: Wave, isComplete: boolean): Promise<void> {
        if (reportedStates.get(wave.wave) === isComplete || reportedStates.get(wave.wave) === true) {
            return;
        }
        reportedStates.set(wave.wave, isComplete);
        if (!await opts.reportWave(wave.wave, isComplete)) {
            reportedStates.delete(wave.wave);
        }
    }

    return {
        listOpen: () =>
            opts.waves().filter(({ wave }) => reportedStates.get(wave) !== true).map((wave) => ({
                wave,
                mayWait: mayWait(wave),
            })),
        isEmptying: (id) => emptyingSinceMs.has(id),
        decide(open, isNeeded) {
            const { wave } = open;
            const slowToEmpty = findSlowToEmpty(wave);
            const maintenance = view.listMaintenance(wave.wave);
            const down = new Set(maintenance.map(({ machine }) => machine));
            // The list may not show yet what an earlier leader has just ordered.
            wave.machines
                .filter((id) => machines.get(id)?.state === "maintenance" || orders.isBlocked(id))
                .forEach((id) => down.add(id));
            const begun = orders.begun(wave.wave);
            const choice = chooseMaintenance({
                wave,
                machines,
                begun,
                removed: findRemoved(wave),
                down,
                runsOn: countRuns,
                isNeeded: (machine) => isNeeded(machine) && !slowToEmpty.has(machine.id) && !isEvacuated(machine),
                mayWait: open.mayWait,
                isEmptying: (id) => emptyingSinceMs.has(id),
                isUnusable: isEvacuated,
            });
            void reportCompletion(wave, choice.isComplete && view.isKnown());
            wave.machines.filter((id) => begun.has(id)).forEach((id) => emptyingSinceMs.delete(id));
            const unansweredOrders = maintenance.filter(({ isUnanswered }) => isUnanswered);
            // The order may have been lost, and the machine's next worker may have taken work before the order is sent
            // again.
            const occupiedMachines = unansweredOrders.filter((order) => !order.isObserved && isOccupied(order.machine));
            [...choice.emptyNext.filter(view.isOrderable), ...occupiedMachines.map(({ machine }) => machine)].forEach(
                emptyMachine,
            );
            releaseMachines(wave, choice.emptyNext);
            const resendIds = unansweredOrders.filter((order) => !occupiedMachines.includes(order)).map(({ machine }) =>
                machine
            );
            return [...choice.startNow.filter(view.isOrderable), ...resendIds].map((machine) => ({
                kind: "maintain",
                machine,
                wave: wave.wave,
            }));
        },
    };
}
