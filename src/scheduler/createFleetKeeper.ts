import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import {
    chooseMoves,
    type DemandMeter,
    findShortage,
    type Machine,
    type MachineOrder,
    type MachineOrders,
    type Machines,
    type PoolDemand,
} from "../machines";
import type { Policy, Wave } from "../policy";
import { type Board, type Estimates, groupByPool, type Run, type Worker } from "../schedule";
import { createConsolidator } from "./createConsolidator";
import { createFleetView } from "./createFleetView";
import { createWaves } from "./createWaves";
import { measureDemand } from "./measureDemand";
import { sumRoom } from "./sumRoom";

export interface FleetKeeperOptions {
    readonly board: Board;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly tenure: Tenure;
    readonly machines: Machines;
    readonly orders: MachineOrders;
    readonly meter: DemandMeter;
    readonly estimates: Estimates;
    /** Time from a decision to move a machine until it takes work, in milliseconds. */
    readonly joinMs: number;
    readonly policy: () => Policy | undefined;
    readonly waves: () => readonly Wave[];
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** How long an upkeep takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Orders to machines that the platform takes a second, over all entries. */
    readonly ordersPerSecond: number;
    /** Longest time that a stop takes on a worker, in milliseconds. */
    readonly maxStopMs: number;
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    stop(run: Run, reason: string): void;
    /** Asks a worker at once what it runs. */
    lookNow(worker: Worker): void;
    onLifeEnded(worker: Worker, reason: string): void;
    onChange(): void;
}

export interface FleetKeeper {
    /** Whether an order to the worker's machine is under way, which may end the worker. */
    isOrdered(worker: Worker): boolean;
    start(): void;
    stop(): void;
}

/** How often moves and upkeep are decided, in milliseconds. */
const decideMs = 150;

/** Part of the platform's rate of orders that moves use; upkeeps and orders sent again need the rest. */
const rateShare = 0.9;

/** How often the room of each pool is logged, in milliseconds. */
const reportMs = 1000;

/** Moves machines to where work waits, parks idle ones, and takes waves through their upkeep. */
export function createFleetKeeper(opts: FleetKeeperOptions): FleetKeeper {
    const { board, clocks } = opts;
    const ordersPerRound = Math.max(1, Math.floor(opts.ordersPerSecond * decideMs / 1000 * rateShare));
    const standby = () => [...opts.policy()?.services.values() ?? []].find(({ isStandby }) => isStandby)?.name;
    const view = createFleetView({ ...opts, standby });
    const waves = createWaves({ ...opts, view, standby });
    const consolidator = createConsolidator(opts);
    let reportedAtMs = Number.NEGATIVE_INFINITY;
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;

    function reportRoom(demand: readonly PoolDemand[]): void {
        const nowMs = clocks.steadyMs();
        if (nowMs - reportedAtMs < reportMs) {
            return;
        }
        reportedAtMs = nowMs;
        const pools = groupByPool(board);
        for (const { pool, isStandby, waitingCpuMillis, neededCpuMillis, comingCpuMillis: coming } of demand) {
            const room = sumRoom(pools.get(pool) ?? []);
            if (!isStandby) {
                opts.report({
                    kind: "room",
                    pool,
                    workers: room.workers,
                    emptyWorkers: room.emptyWorkers,
                    stayingWorkers: room.stayingWorkers,
                    cores: toCores(room.cpuMillis),
                    longRunningCores: toCores(room.longRunningCpuMillis),
                    shortCores: toCores(room.shortCpuMillis),
                    waitingCores: toCores(waitingCpuMillis),
                    neededCores: toCores(neededCpuMillis),
                    comingCores: toCores(coming),
                });
            }
        }
    }

    /**
     * Moves and upkeep of one round. Machines of a wave that has time left serve first and go down when their pool can do
     * without them; in a wave that has none left they go down before anything else.
     */
    function choose(demand: readonly PoolDemand[]): readonly MachineOrder[] {
        const open = waves.listOpen();
        const pressing = open.filter(({ mayWait }) => !mayWait);
        const due = pressing.flatMap((wave) => waves.decide(wave, () => false));
        const wanted = new Set(due.map(({ machine }) => machine));
        [...view.machines.keys()].filter(waves.isEmptying).forEach((id) => wanted.add(id));
        const moves = chooseMoves({
            pools: demand,
            idle: view.listIdle(wanted),
            impossible: view.impossible,
            maxMoves: ordersPerRound,
        });
        const moving = new Set(moves.map(({ machine }) => machine));
        const shortage = new Map(demand.map((pool) => [pool.pool, pool.isStandby ? 0 : findShortage(pool)]));
        const isNeeded = ({ id, pool, capacity }: Machine) =>
            moving.has(id) || (pool !== standby() && (shortage.get(pool) ?? 0) + capacity.cpuMillis > 0);
        const later = open.filter(({ mayWait }) => mayWait).flatMap((wave) => waves.decide(wave, isNeeded));
        return [
            ...due,
            ...later,
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
        const demand = measureDemand({
            board,
            policy,
            estimates: opts.estimates,
            meter: opts.meter,
            nowMs: clocks.steadyMs(),
            comingCpuMillis: view.comingCpuMillis,
            timeOfDayMs: Date.now(),
            joinMs: opts.joinMs,
        });
        reportRoom(demand);
        consolidator.decide(demand);
        const list = choose(demand);
        if (list.length > 0) {
            view.send(list);
            opts.onChange();
        }
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            await decide();
            await new Promise((resolve) => timer = setTimeout(resolve, decideMs));
        }
    }

    return {
        isOrdered: view.isOrdered,
        start: () => void run(),
        stop() {
            isStopped = true;
            clearTimeout(timer);
        },
    };
}

function toCores(cpuMillis: number): number {
    return Math.round(cpuMillis / 1000);
}
