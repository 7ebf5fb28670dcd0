import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import {
    chooseMoves,
    chooseUpkeep,
    type DemandMeter,
    type IdleMachine,
    type Machine,
    type MachineOrder,
    type MachineOrderResult,
    type MachineOrders,
    type Machines,
    type PoolDemand,
} from "../machines";
import type { Policy, Wave } from "../policy";
import { type Board, groupByPool, isOpen, type Run, type Worker } from "../schedule";
import { chooseEvacuations } from "./chooseEvacuations";
import { measureDemand, sumRoom } from "./measureDemand";

export interface FleetKeeperOptions {
    readonly board: Board;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly tenure: Tenure;
    readonly machines: Machines;
    readonly orders: MachineOrders;
    readonly meter: DemandMeter;
    readonly policy: () => Policy | undefined;
    readonly waves: () => readonly Wave[];
    /** How long an upkeep takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Longest time that a stop takes on a worker, in milliseconds. */
    readonly maxStopMs: number;
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    stop(run: Run, reason: string): void;
    onLifeEnded(worker: Worker, reason: string): void;
    onChange(): void;
}

export interface FleetKeeper {
    start(): void;
    stop(): void;
}

/** How often moves and upkeep are decided, in milliseconds. */
const decideMs = 150;

/** How often the list of machines is read while nothing is under way, in milliseconds; each page is paid for. */
const listMs = 1000;

/** The same while machines are on their way. */
const busyListMs = 300;

/** Moves ordered in one round; the platform bounds orders a second over all entries. */
const maxMovesPerRound = 10;

/** A machine whose order met an obstacle is left alone for this long, in milliseconds. */
const obstacleMs = 1000;

/** A machine that was ordered and has not shown up again counts as on its way for this long, in milliseconds. */
const onItsWayMs = 6000;

/** How long a machine may wait to be empty before its upkeep begins all the same, in milliseconds. */
const maxEmptyingMs = 2500;

/** A machine missing from the platform's list for this long counts as removed, in milliseconds. */
const removedAfterMs = 5000;

/** How often the room of each pool is logged, in milliseconds. */
const reportMs = 1000;

interface Journey {
    readonly toPool: string;
    readonly workerBefore: string | undefined;
    readonly orderedAtMs: number;
    /** When the order was answered as done; it takes its time from then at the earliest. */
    answeredAtMs: number | undefined;
    /** The order got no answer; it may be carried out yet. */
    isUnanswered: boolean;
    readonly wave: number | undefined;
    /** The platform's list has shown it away since. */
    wasAway: boolean;
}

/** Moves machines to where work waits, parks idle ones, and takes waves through their upkeep. */
export function createFleetKeeper(opts: FleetKeeperOptions): FleetKeeper {
    const { board, clocks, orders } = opts;
    const machines = new Map<string, Machine>();
    const journeys = new Map<string, Journey>();
    const obstacles = new Map<string, number>();
    const impossible = new Set<string>();
    const absentSince = new Map<string, number>();
    const emptyingSince = new Map<string, number>();
    /** When work first arrived for a pool. */
    const firstDemandAtMs = new Map<string, number>();
    const reportedWaves = new Map<number, boolean>();
    let reportedAtMs = Number.NEGATIVE_INFINITY;
    let listedAtMs = Number.NEGATIVE_INFINITY;
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;

    async function readList(): Promise<void> {
        const sentAtMs = clocks.steadyMs();
        const result = await opts.machines.list();
        if (result.kind === "noAnswer") {
            return;
        }
        listedAtMs = sentAtMs;
        result.machines.forEach(reportChange);
        machines.clear();
        result.machines.forEach((machine) => machines.set(machine.id, machine));
        for (const [id, journey] of journeys) {
            const machine = machines.get(id);
            if (sentAtMs <= journey.orderedAtMs) {
                continue;
            }
            journey.wasAway ||= machine?.state !== "up";
            if (isOver(journey, machine, sentAtMs)) {
                journeys.delete(id);
            }
        }
    }

    /**
     * An upkeep that was ordered counts as going on until it has been answered and its time has passed: the list lags, and
     * an order without an answer may be carried out seconds later. Another machine taken down meanwhile would be one
     * more than the operator allows.
     */
    function isOver(journey: Journey, machine: Machine | undefined, listSentAtMs: number): boolean {
        const isOther = journey.wasAway || machine?.workerId !== journey.workerBefore;
        const isBack = machine?.state === "up" && isOther;
        const isOverdue = clocks.steadyMs() - journey.orderedAtMs > onItsWayMs;
        if (journey.wave === undefined) {
            return isBack || isOverdue;
        }
        const isLongEnough = journey.answeredAtMs !== undefined
            && listSentAtMs - journey.answeredAtMs > opts.maintenanceMs;
        return isLongEnough && (isBack || isOverdue);
    }

    function reportChange({ id, state, pool, workerId }: Machine): void {
        const known = machines.get(id);
        if (known !== undefined && (known.state !== state || known.pool !== pool || known.workerId !== workerId)) {
            opts.report({ kind: "machine", machine: id, state, pool, worker: workerId ?? "" });
        }
    }

    function workerOf(machine: Machine | undefined): Worker | undefined {
        return machine?.workerId === undefined ? undefined : board.workers.get(machine.workerId);
    }

    function isFree(id: string): boolean {
        const isObstructed = (obstacles.get(id) ?? 0) > clocks.steadyMs();
        return !journeys.has(id) && !isObstructed && !orders.isBlocked(id);
    }

    function listIdle(wanted: ReadonlySet<string>): readonly IdleMachine[] {
        const standby = findStandby();
        const nowMs = clocks.steadyMs();
        const idle: IdleMachine[] = [];
        for (const machine of machines.values()) {
            if (machine.state !== "up" || !isFree(machine.id) || wanted.has(machine.id)) {
                continue;
            }
            const worker = workerOf(machine);
            const isIdle = machine.pool === standby
                || (worker !== undefined && isOpen(worker) && worker.runs.size === 0);
            if (isIdle) {
                idle.push({
                    id: machine.id,
                    pool: machine.pool,
                    cpuMillis: machine.capacity.cpuMillis,
                    idleMs: nowMs - (worker?.idleSinceMs ?? 0),
                });
            }
        }
        return idle;
    }

    function comingCpuMillis(pool: string): number {
        return [...journeys].filter(([, journey]) => journey.toPool === pool)
            .reduce((sum, [id]) => sum + (machines.get(id)?.capacity.cpuMillis ?? 0), 0);
    }

    function reportRoom(demand: readonly PoolDemand[]): void {
        const nowMs = clocks.steadyMs();
        if (nowMs - reportedAtMs < reportMs) {
            return;
        }
        reportedAtMs = nowMs;
        const pools = groupByPool(board);
        for (const { pool, isStandby, waitingCpuMillis, comingCpuMillis: coming } of demand) {
            const room = sumRoom(pools.get(pool) ?? []);
            if (!isStandby) {
                opts.report({
                    kind: "room",
                    pool,
                    workers: room.workers,
                    cores: toCores(room.cpuMillis),
                    longRunningCores: toCores(room.longRunningCpuMillis),
                    shortCores: toCores(room.shortCpuMillis),
                    waitingCores: toCores(waitingCpuMillis),
                    comingCores: toCores(coming),
                });
            }
        }
    }

    function send(list: readonly MachineOrder[]): void {
        const nowMs = clocks.steadyMs();
        for (const order of list) {
            const machine = machines.get(order.machine);
            const worker = workerOf(machine);
            if (worker !== undefined) {
                worker.isReserved = true;
            }
            journeys.set(order.machine, {
                toPool: order.kind === "move" ? order.pool : machine?.pool ?? "",
                workerBefore: journeys.get(order.machine)?.workerBefore ?? machine?.workerId,
                orderedAtMs: nowMs,
                answeredAtMs: undefined,
                isUnanswered: false,
                wave: order.kind === "maintain" ? order.wave : undefined,
                wasAway: false,
            });
        }
        // Not waited for: an interface that answers slowly must not hold up the next decisions.
        void orders.send(list, applyResult);
    }

    function applyResult(order: MachineOrder, result: MachineOrderResult): void {
        const journey = journeys.get(order.machine);
        const workerId = journey?.workerBefore;
        const worker = workerId === undefined ? undefined : board.workers.get(workerId);
        switch (result.kind) {
            case "done":
                if (journey !== undefined) {
                    journey.answeredAtMs = clocks.steadyMs();
                }
                if (worker !== undefined) {
                    opts.onLifeEnded(worker, `its machine was ordered: ${order.kind}`);
                }
                return;
            case "noAnswer":
                if (journey !== undefined) {
                    journey.isUnanswered = true;
                }
                return;
            case "impossible":
                impossible.add(order.kind === "move" ? `${order.machine} ${order.pool}` : order.machine);
                takeBack(order, worker);
                return;
            case "fenced":
            case "busy":
            case "notNow":
                takeBack(order, worker);
        }
    }

    function takeBack(order: MachineOrder, worker: Worker | undefined): void {
        journeys.delete(order.machine);
        obstacles.set(order.machine, clocks.steadyMs() + obstacleMs);
        if (worker !== undefined) {
            worker.isReserved = false;
        }
    }

    /**
     * A worker that has not been asked yet, as right after a change of owners, may run anything; taking its machine down
     * for empty would end tasks whose steps bear no more of them away.
     */
    function countRuns(machine: Machine): number | undefined {
        if (machine.pool === findStandby()) {
            return 0;
        }
        const worker = workerOf(machine);
        return worker?.isHeld === true && worker.strays === 0 ? worker.runs.size : undefined;
    }

    function findStandby(): string | undefined {
        return [...opts.policy()?.services.values() ?? []].find(({ isStandby }) => isStandby)?.name;
    }

    function decideUpkeep(wave: Wave): readonly MachineOrder[] {
        const down = new Set([...journeys].filter(([, journey]) => journey.wave === wave.wave).map(([id]) => id));
        // What an earlier owner has just ordered may not show in the list yet.
        wave.machines
            .filter((id) => machines.get(id)?.state === "maintenance" || orders.isBlocked(id))
            .forEach((id) => down.add(id));
        const choice = chooseUpkeep({
            wave,
            machines,
            begun: orders.begun(wave.wave),
            removed: findRemoved(wave),
            down,
            runsOn: countRuns,
        });
        void noteWave(wave, choice.isComplete && listedAtMs > 0);
        choice.prepare.filter(isFree).forEach(empty);
        const unanswered = [...journeys].filter(([, journey]) => journey.wave === wave.wave && journey.isUnanswered);
        const again = unanswered.map(([id]) => id);
        return [...choice.now.filter(isFree), ...again].map((machine) => ({
            kind: "maintain",
            machine,
            wave: wave.wave,
        }));
    }

    /** Takes work off a machine that is to go down, as far as the availability of each step allows. */
    function empty(id: string): void {
        const worker = workerOf(machines.get(id));
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

    async function noteWave(wave: Wave, isComplete: boolean): Promise<void> {
        if (reportedWaves.get(wave.wave) === isComplete || reportedWaves.get(wave.wave) === true) {
            return;
        }
        reportedWaves.set(wave.wave, isComplete);
        if (!await opts.reportWave(wave.wave, isComplete)) {
            reportedWaves.delete(wave.wave);
        }
    }

    async function decide(): Promise<void> {
        const policy = opts.policy();
        if (policy === undefined || !opts.tenure.isValid()) {
            return;
        }
        const ageMs = clocks.steadyMs() - listedAtMs;
        if (ageMs > (journeys.size > 0 ? busyListMs : listMs)) {
            await readList();
        }
        if (machines.size === 0 || isStopped) {
            return;
        }
        const open = opts.waves().filter(({ wave }) => reportedWaves.get(wave) !== true);
        const upkeep = open.flatMap(decideUpkeep);
        const wanted = new Set(upkeep.map(({ machine }) => machine));
        for (const wave of open) {
            const begun = orders.begun(wave.wave);
            wave.machines.filter((id) => !begun.has(id) && emptyingSince.has(id)).forEach((id) => wanted.add(id));
        }
        const demand = measureDemand({
            board,
            policy,
            meter: opts.meter,
            nowMs: clocks.steadyMs(),
            comingCpuMillis,
            firstDemandAtMs,
        });
        reportRoom(demand);
        const moves = chooseMoves({
            pools: demand,
            idle: listIdle(wanted),
            impossible,
            maxMoves: maxMovesPerRound,
        });
        const list: MachineOrder[] = [
            ...upkeep,
            ...moves.map(({ machine, to }) => ({ kind: "move", machine, pool: to }) as const),
        ];
        if (list.length > 0) {
            send(list);
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
