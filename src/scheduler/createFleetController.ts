import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import {
    chooseMoves,
    type DemandMeter,
    findShortage,
    type IdleMachine,
    type Machine,
    type MachineApi,
    type MachineOrder,
    type MachineOrders,
    type PoolDemand,
} from "../machines";
import type { Policy, Wave } from "../policy";
import { type DurationEstimates, type Run, type SchedulerState, type Worker } from "../schedule";
import { createCompetition, type Judgement } from "./createCompetition";
import { createConsolidator } from "./createConsolidator";
import { createFleetView } from "./createFleetView";
import { createPoolReport } from "./createPoolReport";
import type { OccupiedMachine } from "./createReclaimer";
import { createWaveController } from "./createWaveController";
import { measureDemand } from "./measureDemand";

export interface FleetControllerOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly tenure: Tenure;
    readonly machines: MachineApi;
    readonly orders: MachineOrders;
    readonly meter: DemandMeter;
    readonly estimates: DurationEstimates;
    /** Time from the decision to move a machine until it takes work, in milliseconds. */
    readonly joinMs: number;
    readonly policy: () => Policy | undefined;
    readonly waves: () => readonly Wave[];
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** How long the maintenance of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Machine orders that the platform accepts per second, over all entries. */
    readonly ordersPerSecond: number;
    /** Longest time that a worker takes to stop a task, in milliseconds. */
    readonly maxStopMs: number;
    /** Writes the state of a wave for the operators. Resolves to `false` if it is not in the store. */
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    stop(run: Run, reason: string): void;
    /** Polls a worker's run list at once. */
    pollNow(worker: Worker): void;
    onIncarnationEnded(worker: Worker, reason: string): void;
    /** Called after machine orders have been sent. */
    onChange(): void;
}

/** Demand of all pools at one time. */
export interface MeasuredDemand {
    readonly pools: readonly PoolDemand[];
    readonly idle: readonly IdleMachine[];
    /** When it was measured, on the monotonic clock, in milliseconds. */
    readonly atMs: number;
}

/** Decides machine moves and maintenance in a loop. */
export interface FleetController {
    /** Whether an order for the worker's machine is pending, which may end the worker. */
    hasPendingOrder(worker: Worker): boolean;
    /** The demand of all pools and the idle machines, as last measured; `undefined` before that. */
    latestDemand(): MeasuredDemand | undefined;
    start(): void;
    stop(): void;
}

/** Interval between decisions on moves and maintenance, in milliseconds. */
const decisionIntervalMs = 150;

/** Share of the platform's order rate that moves may use. Maintenance and repeated orders need the rest. */
const moveRateShare = 0.9;

/**
 * Creates the loop that moves machines to pools with waiting work and between competing pools, moves idle ones to the standby
 * pool, and carries out maintenance waves.
 */
export function createFleetController(opts: FleetControllerOptions): FleetController {
    const { state, clocks } = opts;
    const maxMovesPerRound = Math.max(1, Math.floor(opts.ordersPerSecond * decisionIntervalMs / 1000 * moveRateShare));
    const standby = () => [...opts.policy()?.pools.values() ?? []].find(({ isStandby }) => isStandby)?.name;
    const view = createFleetView({ ...opts, standby });
    const waves = createWaveController({ ...opts, view, standby });
    const consolidator = createConsolidator(opts);
    let latestDemand: MeasuredDemand | undefined;
    const competition = createCompetition(opts);
    const reportPools = createPoolReport({ ...opts, countReclaimed: competition.countReclaimed });
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;

    const isTakenOver = (id: string, worker: Worker) => view.hasPendingOrder(worker) || waves.isEmptying(id);

    /** Lists the machines in pools that may be reclaimed, or are reclaimed. */
    function listOccupied(): readonly OccupiedMachine[] {
        const evacuated = opts.evacuatedZones();
        return [...view.machines.values()].flatMap((machine) => {
            const worker = view.workerOf(machine);
            const isFree = machine.state === "up" && !evacuated.has(machine.zone) && view.isOrderable(machine.id);
            return isFree && worker !== undefined && !isTakenOver(machine.id, worker) ? [{ machine, worker }] : [];
        });
    }

    /**
     * Chooses the moves and maintenance orders of one round. While a wave has time left, its machines keep working, and
     * are maintained when their pool can do without them. When a wave has no time left, its maintenance is chosen
     * before anything else.
     */
    function chooseOrders({ demand, entitlements }: Judgement): readonly MachineOrder[] {
        const openWaves = waves.listOpen();
        const urgentWaves = openWaves.filter(({ mayWait }) => !mayWait);
        const urgentMaintenance = urgentWaves.flatMap((wave) => waves.decide(wave, () => false));
        const maintenanceIds = new Set(urgentMaintenance.map(({ machine }) => machine));
        [...view.machines.keys()].filter(waves.isEmptying).forEach((id) => maintenanceIds.add(id));
        const idle = view.listIdle(maintenanceIds, competition.reclaimed);
        const moves = chooseMoves({
            pools: demand,
            idle,
            impossibleMoves: view.impossible,
            maxMoves: maxMovesPerRound,
            entitlements,
        });
        const movingIds = new Set(moves.map(({ machine }) => machine));
        const shortageByPool = new Map(demand.map((pool) => [pool.pool, pool.isStandby ? 0 : findShortage(pool)]));
        // A machine is needed if it is about to move, or if its pool would be short of capacity without it.
        const isNeeded = ({ id, pool, capacity }: Machine) =>
            movingIds.has(id) || (pool !== standby() && (shortageByPool.get(pool) ?? 0) + capacity.cpuMillis > 0);
        const deferrableMaintenance = openWaves.filter(({ mayWait }) => mayWait).flatMap((wave) =>
            waves.decide(wave, isNeeded)
        );
        [...movingIds, ...deferrableMaintenance.map(({ machine }) => machine)].forEach((id) => maintenanceIds.add(id));
        competition.reclaim({
            demand,
            entitlements,
            moves,
            idle,
            impossibleMoves: view.impossible,
            machines: listOccupied().filter(({ machine: { id } }) => !maintenanceIds.has(id)),
            isTakenOver: (id, worker) => maintenanceIds.has(id) || isTakenOver(id, worker),
            nowMs: clocks.monotonicMs(),
        });
        return [
            ...urgentMaintenance,
            ...deferrableMaintenance,
            ...moves.map(({ machine, to }) => ({ kind: "move", machine, pool: to }) as const),
        ];
    }

    async function decide(): Promise<void> {
        const policy = opts.policy();
        if (policy === undefined || !opts.tenure.isValid()) {
            return;
        }
        await view.refresh();
        if (view.machines.size === 0 || isStopped) {
            return;
        }
        competition.handOver(isTakenOver);
        const demand = measureDemand({
            state,
            policy,
            estimates: opts.estimates,
            meter: opts.meter,
            nowMs: clocks.monotonicMs(),
            comingCpuMillis: view.comingCpuMillis,
            timeOfDayMs: Date.now(),
            joinMs: opts.joinMs,
            hosts: [...view.machines.values(), ...state.workers.values()],
        });
        latestDemand = { pools: demand, idle: view.listIdle(new Set()), atMs: clocks.monotonicMs() };
        const cores = { unassignedCpuMillis: view.unassignedCpuMillis(), heldCpuMillis: view.heldCpuMillis };
        const judgement = competition.judge(demand, cores, clocks.monotonicMs());
        reportPools(demand, judgement, view.listAgeMs());
        consolidator.decide(demand);
        const chosenOrders = chooseOrders(judgement);
        if (chosenOrders.length > 0) {
            view.send(chosenOrders);
            opts.onChange();
        }
    }

    async function runLoop(): Promise<void> {
        while (!isStopped) {
            await decide();
            await new Promise((resolve) => timer = setTimeout(resolve, decisionIntervalMs));
        }
    }

    return {
        hasPendingOrder: view.hasPendingOrder,
        latestDemand: () => latestDemand,
        start: () => void runLoop(),
        stop() {
            isStopped = true;
            clearTimeout(timer);
        },
    };
}
