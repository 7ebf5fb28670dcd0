import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import type { IdleMachine, Machine, MachineOrder, MachineOrderResult, MachineOrders, Machines } from "../machines";
import { type Board, isInService, type Worker } from "../schedule";

export interface FleetViewOptions {
    readonly board: Board;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly machines: Machines;
    readonly orders: MachineOrders;
    /** How long an upkeep takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Pool whose machines are off; `undefined` where there is none. */
    readonly standby: () => string | undefined;
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** Asks a worker at once what it runs. */
    lookNow(worker: Worker): void;
    onLifeEnded(worker: Worker, reason: string): void;
}

export interface OrderedUpkeep {
    readonly machine: string;
    /** The order got no answer; it may be carried out yet. */
    readonly isUnanswered: boolean;
    /** The platform's list has shown the upkeep since it was ordered first. */
    readonly isSeen: boolean;
}

/** What an owner knows of the machines, and what is on its way with them by its orders. */
export interface FleetView {
    readonly machines: ReadonlyMap<string, Machine>;
    /** Machines that cannot join a pool, as "machine pool". */
    readonly impossible: ReadonlySet<string>;
    /** Whether the platform's list has been read. */
    isKnown(): boolean;
    /** Reads the platform's list where the last reading is old. */
    refresh(): Promise<void>;
    workerOf(machine: Machine | undefined): Worker | undefined;
    /** Whether an order to the worker's machine is under way, which may end the worker. */
    isOrdered(worker: Worker): boolean;
    /** Nothing is on its way with the machine, and no earlier owner's order can be. */
    isFree(id: string): boolean;
    /** Machines without work, but for those that are wanted for something else. */
    listIdle(wanted: ReadonlySet<string>): readonly IdleMachine[];
    /** Processors of machines on their way to a pool, in thousandths. */
    comingCpuMillis(pool: string): number;
    /** Machines whose upkeep for a wave was ordered and is not known to be over. */
    onUpkeep(wave: number): readonly OrderedUpkeep[];
    send(orders: readonly MachineOrder[]): void;
}

/** How often the list of machines is read while nothing is under way, in milliseconds; each page is paid for. */
const listMs = 1000;

/** The same while machines are on their way. */
const busyListMs = 300;

/** A machine whose order met an obstacle is left alone for this long, in milliseconds. */
const obstacleMs = 1000;

/** A machine that was ordered and has not shown up again counts as on its way for this long, in milliseconds. */
const onItsWayMs = 6000;

interface Journey {
    readonly toPool: string;
    readonly workerBefore: string | undefined;
    /** The worker, as the board had it; tells its life from a later one under the same id. */
    readonly lifeBefore: Worker | undefined;
    readonly orderedAtMs: number;
    /** When the order was answered as done; it takes its time from then at the earliest. */
    answeredAtMs: number | undefined;
    /** The order got no answer; it may be carried out yet. */
    isUnanswered: boolean;
    readonly wave: number | undefined;
    /** The platform's list has shown it away since. */
    wasAway: boolean;
    /** The platform's list has shown it at its upkeep since the first order. */
    wasMaintained: boolean;
    /** When the worker was asked whether it is still there. */
    askedAtMs: number | undefined;
}

/** Follows the platform's list of machines and the orders that are under way to them. */
export function createFleetView(opts: FleetViewOptions): FleetView {
    const { board, clocks, orders } = opts;
    const machines = new Map<string, Machine>();
    const journeys = new Map<string, Journey>();
    const obstacles = new Map<string, number>();
    const impossible = new Set<string>();
    let listedAtMs = Number.NEGATIVE_INFINITY;

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
            journey.wasMaintained ||= machine?.state === "maintenance";
            if (machine !== undefined) {
                settleLife(journey, machine, sentAtMs);
            }
            if (isOver(journey, machine, sentAtMs)) {
                journeys.delete(id);
                release(workerOf(machine));
            }
        }
    }

    /** The order was lost, or sent again when the next worker was up: nothing else would give this one work again. */
    function release(worker: Worker | undefined): void {
        if (worker !== undefined) {
            worker.isReserved = false;
        }
    }

    /** The worker that was on the machine when it was ordered, while the board has this life of it. */
    function findLife(before: Worker | undefined): Worker | undefined {
        const worker = before === undefined ? undefined : board.workers.get(before.id);
        return worker?.bornMs === before?.bornMs ? worker : undefined;
    }

    /**
     * Ends a worker's life once the list shows it gone. The answer "done" does not tell: an order that had been carried out
     * before, as by an earlier owner whose record of it is missing, gets it too and ends nothing. A list may be old, so a
     * worker with runs has to be silent as well: taken for gone, it would run on what is started a second time elsewhere.
     */
    function settleLife(journey: Journey, machine: Machine, listSentAtMs: number): void {
        const worker = findLife(journey.lifeBefore);
        if (worker === undefined) {
            return;
        }
        const isGone = hasLeft(worker, machine);
        if (isGone && (worker.runs.size === 0 || !worker.isReachable)) {
            opts.onLifeEnded(worker, "its machine was ordered and shows without it");
            return;
        }
        const isDoubtful = isGone || listSentAtMs > (journey.answeredAtMs ?? Number.POSITIVE_INFINITY);
        if (isDoubtful && journey.askedAtMs === undefined) {
            journey.askedAtMs = clocks.steadyMs();
            opts.lookNow(worker);
        }
    }

    /** Sets machines free whose worker, asked after the answer "done", has shown what it runs: nothing ended there. */
    function dropSpared(): void {
        for (const [id, { lifeBefore, askedAtMs, answeredAtMs }] of journeys) {
            const worker = findLife(lifeBefore);
            const isSpared = askedAtMs !== undefined && answeredAtMs !== undefined
                && worker?.runList.kind === "read" && worker.runList.askedAtMs >= Math.max(askedAtMs, answeredAtMs);
            if (isSpared) {
                journeys.delete(id);
                release(worker);
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

    function isEvacuated(machine: Machine | undefined): boolean {
        return machine !== undefined && opts.evacuatedZones().has(machine.zone);
    }

    function isFree(id: string): boolean {
        const isObstructed = (obstacles.get(id) ?? 0) > clocks.steadyMs();
        return !journeys.has(id) && !isObstructed && !orders.isBlocked(id);
    }

    function applyResult(order: MachineOrder, result: MachineOrderResult): void {
        const journey = journeys.get(order.machine);
        const worker = findLife(journey?.lifeBefore);
        switch (result.kind) {
            case "done":
                if (journey !== undefined) {
                    journey.answeredAtMs = clocks.steadyMs();
                    journey.askedAtMs = undefined;
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
        release(worker);
        release(workerOf(machines.get(order.machine)));
    }

    return {
        machines,
        impossible,
        isKnown: () => listedAtMs > 0,
        async refresh() {
            dropSpared();
            const ageMs = clocks.steadyMs() - listedAtMs;
            if (ageMs > (journeys.size > 0 ? busyListMs : listMs)) {
                await readList();
            }
        },
        workerOf,
        isOrdered: (worker) => [...journeys.values()].some(({ lifeBefore }) => findLife(lifeBefore) === worker),
        isFree,
        listIdle(wanted) {
            const standby = opts.standby();
            const nowMs = clocks.steadyMs();
            const idle: IdleMachine[] = [];
            for (const machine of machines.values()) {
                if (machine.state !== "up" || !isFree(machine.id) || wanted.has(machine.id)) {
                    continue;
                }
                const worker = workerOf(machine);
                const isIdle = machine.pool === standby
                    || (worker !== undefined && isInService(worker) && worker.runs.size === 0);
                if (isIdle) {
                    idle.push({
                        id: machine.id,
                        pool: machine.pool,
                        cpuMillis: machine.capacity.cpuMillis,
                        idleMs: nowMs - (worker?.idleSinceMs ?? 0),
                        isEvacuated: isEvacuated(machine),
                    });
                }
            }
            return idle;
        },
        comingCpuMillis: (pool) =>
            [...journeys].filter(([id, journey]) => journey.toPool === pool && !isEvacuated(machines.get(id)))
                .reduce((sum, [id]) => sum + (machines.get(id)?.capacity.cpuMillis ?? 0), 0),
        onUpkeep: (wave) =>
            [...journeys].filter(([, journey]) => journey.wave === wave)
                .map(([machine, { isUnanswered, wasMaintained }]) => ({
                    machine,
                    isUnanswered,
                    isSeen: wasMaintained,
                })),
        send(list) {
            const nowMs = clocks.steadyMs();
            for (const order of list) {
                const machine = machines.get(order.machine);
                const worker = workerOf(machine);
                if (worker !== undefined) {
                    worker.isReserved = true;
                }
                const known = journeys.get(order.machine);
                journeys.set(order.machine, {
                    toPool: order.kind === "move" ? order.pool : machine?.pool ?? "",
                    workerBefore: known?.workerBefore ?? machine?.workerId,
                    lifeBefore: worker ?? known?.lifeBefore,
                    orderedAtMs: nowMs,
                    answeredAtMs: undefined,
                    isUnanswered: false,
                    wave: order.kind === "maintain" ? order.wave : undefined,
                    wasAway: false,
                    wasMaintained: known?.wasMaintained ?? false,
                    askedAtMs: undefined,
                });
            }
            // Not waited for: an interface that answers slowly must not hold up the next decisions.
            void orders.send(list, applyResult);
        },
    };
}

/** Whether the list shows a machine on its way, or with another worker; one that is only down may still run things. */
function hasLeft(worker: Worker, { state, workerId }: Machine): boolean {
    switch (state) {
        case "moving":
        case "maintenance":
            return true;
        case "up":
            return workerId !== worker.id;
        case "down":
            return false;
    }
}
