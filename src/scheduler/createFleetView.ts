import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import type { IdleMachine, Machine, MachineApi, MachineOrder, MachineOrderResult, MachineOrders } from "../machines";
import { isInService, isOperational, type SchedulerState, type Worker } from "../schedule";

export interface FleetViewOptions {
    readonly state: SchedulerState;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly machines: MachineApi;
    readonly orders: MachineOrders;
    /** How long the maintenance of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** Name of the pool whose machines are switched off, or `undefined` if there is none. */
    readonly standby: () => string | undefined;
    readonly evacuatedZones: () => ReadonlySet<string>;
    /** Polls a worker's run list at once. */
    pollNow(worker: Worker): void;
    onIncarnationEnded(worker: Worker, reason: string): void;
}

/** A maintenance that has been ordered and is not known to be over. */
export interface OrderedMaintenance {
    /** Id of the machine. */
    readonly machine: string;
    /** Whether the order got no answer. It may still be carried out. */
    readonly isUnanswered: boolean;
    /** Whether the platform's list has shown the maintenance since the first order. */
    readonly isObserved: boolean;
}

/** The leader's view of the machines and of its pending machine orders. */
export interface FleetView {
    readonly machines: ReadonlyMap<string, Machine>;
    /** Orders that the platform reported as impossible: "machine pool" for moves, "machine" for maintenance. */
    readonly impossible: ReadonlySet<string>;
    /** Whether the platform's list has been read. */
    isKnown(): boolean;
    /** Reads the platform's list if the last copy is too old. */
    refresh(): Promise<void>;
    /** Returns the worker that the platform's list shows on a machine. */
    workerOf(machine: Machine | undefined): Worker | undefined;
    /** Whether an order for the worker's machine is pending, which may end the worker. */
    hasPendingOrder(worker: Worker): boolean;
    /** Whether an order for the machine may be sent: none is pending, and none of an earlier leader can be. */
    isOrderable(id: string): boolean;
    /**
     * Lists machines without work.
     *
     * @param wanted ids of machines that are left out because they are wanted for something else
     * @param reclaimed ids of machines that are reserved in order to be moved
     */
    listIdle(wanted: ReadonlySet<string>, reclaimed?: ReadonlySet<string>): readonly IdleMachine[];
    /**
     * Cores of machines that are in the standby pool or on their way to it, and of those on their way to another pool that
     * this leader has not ordered, in thousandths; without those in maintenance, down or under evacuation.
     */
    unassignedCpuMillis(): number;
    /**
     * Cores of machines that the list shows in a pool, or that this leader has ordered to it, in thousandths; without those
     * that are down or under evacuation.
     */
    heldCpuMillis(pool: string): number;
    /** Age of the platform's list, in milliseconds. */
    listAgeMs(): number;
    /** Cores of the machines that are moving to a pool, in thousandths. */
    comingCpuMillis(pool: string): number;
    /** Lists machines whose maintenance for a wave was ordered and is not known to be over. */
    listMaintenance(wave: number): readonly OrderedMaintenance[];
    /** Sends machine orders and reserves their workers. Does not wait for the answers. */
    send(orders: readonly MachineOrder[]): void;
}

/** How often the machine list is read while no order is pending, in milliseconds. Each page of the list is billed. */
const listIntervalMs = 1000;

/** How often the machine list is read while orders are pending, in milliseconds. */
const pendingListIntervalMs = 300;

/** A machine whose order was rejected gets no other order for this long, in milliseconds. */
const rejectedBackoffMs = 1000;

/** An order counts as pending for this long if the list does not show the machine back, in milliseconds. */
const orderTimeoutMs = 6000;

/** A machine order whose effect has not been observed in full. */
interface PendingOrder {
    readonly targetPool: string;
    readonly workerIdBefore: string | undefined;
    /** The worker's record at the time of the order. Distinguishes its incarnation from a later one under the same id. */
    readonly incarnationBefore: Worker | undefined;
    readonly orderedAtMs: number;
    /** When the order was answered as done. Its effect begins then or later. */
    answeredAtMs: number | undefined;
    /** Whether the order got no answer. It may still be carried out. */
    isUnanswered: boolean;
    readonly wave: number | undefined;
    /** Whether the platform's list has shown the machine missing or not up since the order. */
    wasObservedAway: boolean;
    /** Whether the platform's list has shown the machine in maintenance since the first order. */
    wasObservedInMaintenance: boolean;
    /** When the worker was polled to find out whether it still runs. */
    polledAtMs: number | undefined;
}

/** Tracks the platform's machine list and the pending machine orders. */
export function createFleetView(opts: FleetViewOptions): FleetView {
    const { state: schedulerState, clocks, orders } = opts;
    const machines = new Map<string, Machine>();
    const pendingOrders = new Map<string, PendingOrder>();
    const blockedUntilMs = new Map<string, number>();
    const impossible = new Set<string>();
    let listedAtMs = Number.NEGATIVE_INFINITY;

    async function readMachines(): Promise<void> {
        const sentAtMs = clocks.monotonicMs();
        const result = await opts.machines.list();
        if (result.kind === "noAnswer") {
            return;
        }
        listedAtMs = sentAtMs;
        result.machines.forEach(reportChange);
        machines.clear();
        result.machines.forEach((machine) => machines.set(machine.id, machine));
        for (const [id, pending] of pendingOrders) {
            const machine = machines.get(id);
            if (sentAtMs <= pending.orderedAtMs) {
                continue;
            }
            pending.wasObservedAway ||= machine?.state !== "up";
            pending.wasObservedInMaintenance ||= machine?.state === "maintenance";
            if (machine !== undefined) {
                endIfGone(pending, machine, sentAtMs);
            }
            if (isSettled(pending, machine, sentAtMs)) {
                pendingOrders.delete(id);
                release(workerOf(machine));
            }
        }
    }

    /**
     * Lets a worker take work again. Its order was lost, or was sent again after the next worker had started. Nothing
     * else would end the reservation.
     */
    function release(worker: Worker | undefined): void {
        if (worker !== undefined) {
            worker.isReserved = false;
        }
    }

    /** Finds the worker that ran on the machine at the time of the order, if this incarnation is still the known one. */
    function findIncarnation(before: Worker | undefined): Worker | undefined {
        const worker = before === undefined ? undefined : schedulerState.workers.get(before.id);
        return worker?.bornMs === before?.bornMs ? worker : undefined;
    }

    /**
     * Ends a worker's incarnation once the list no longer shows it. The answer "done" is not enough: an order that was
     * carried out before, such as by an earlier leader whose record of it is missing, gets the same answer and ends
     * nothing. A list may be stale, so a worker with runs has to be unreachable as well. If such a worker were taken as
     * ended while it still runs, its tasks would be started a second time elsewhere.
     */
    function endIfGone(pending: PendingOrder, machine: Machine, listSentAtMs: number): void {
        const worker = findIncarnation(pending.incarnationBefore);
        if (worker === undefined) {
            return;
        }
        const isGone = hasLeftMachine(worker, machine);
        if (isGone && (worker.runs.size === 0 || !worker.isReachable)) {
            opts.onIncarnationEnded(worker, "the platform lists its machine without it after a machine order");
            return;
        }
        const isUncertain = isGone || listSentAtMs > (pending.answeredAtMs ?? Number.POSITIVE_INFINITY);
        if (isUncertain && pending.polledAtMs === undefined) {
            pending.polledAtMs = clocks.monotonicMs();
            opts.pollNow(worker);
        }
    }

    /**
     * Releases machines whose worker answered a poll that was sent after the answer "done": the order did not end the
     * worker.
     */
    function releaseUnaffected(): void {
        for (const [id, { incarnationBefore, polledAtMs, answeredAtMs }] of pendingOrders) {
            const worker = findIncarnation(incarnationBefore);
            const isUnaffected = polledAtMs !== undefined && answeredAtMs !== undefined
                && worker?.runList.kind === "read" && worker.runList.askedAtMs >= Math.max(polledAtMs, answeredAtMs);
            if (isUnaffected) {
                pendingOrders.delete(id);
                release(worker);
            }
        }
    }

    /**
     * Whether an order's effect is over. An ordered maintenance counts as in progress until the order has been answered
     * and the maintenance time has passed. The list lags behind, and an order without an answer may be carried out
     * seconds later. If another machine were taken down meanwhile, one more than the operator allows would be down.
     */
    function isSettled(pending: PendingOrder, machine: Machine | undefined, listSentAtMs: number): boolean {
        const isChanged = pending.wasObservedAway || machine?.workerId !== pending.workerIdBefore;
        const isBack = machine?.state === "up" && isChanged;
        const isOverdue = clocks.monotonicMs() - pending.orderedAtMs > orderTimeoutMs;
        if (pending.wave === undefined) {
            return isBack || isOverdue;
        }
        const isMaintenanceTimeOver = pending.answeredAtMs !== undefined
            && listSentAtMs - pending.answeredAtMs > opts.maintenanceMs;
        return isMaintenanceTimeOver && (isBack || isOverdue);
    }

    function reportChange({ id, state, pool, workerId }: Machine): void {
        const known = machines.get(id);
        if (known !== undefined && (known.state !== state || known.pool !== pool || known.workerId !== workerId)) {
            opts.report({ kind: "machine", machine: id, state, pool, worker: workerId ?? "" });
        }
    }

    function workerOf(machine: Machine | undefined): Worker | undefined {
        return machine?.workerId === undefined ? undefined : schedulerState.workers.get(machine.workerId);
    }

    function isEvacuated(machine: Machine | undefined): boolean {
        return machine !== undefined && opts.evacuatedZones().has(machine.zone);
    }

    function canOrder(id: string): boolean {
        const isBackingOff = (blockedUntilMs.get(id) ?? 0) > clocks.monotonicMs();
        return !pendingOrders.has(id) && !isBackingOff && !orders.isBlocked(id);
    }

    function applyResult(order: MachineOrder, result: MachineOrderResult): void {
        const pending = pendingOrders.get(order.machine);
        const worker = findIncarnation(pending?.incarnationBefore);
        switch (result.kind) {
            case "done":
                if (pending !== undefined) {
                    pending.answeredAtMs = clocks.monotonicMs();
                    pending.polledAtMs = undefined;
                }
                return;
            case "noAnswer":
                if (pending !== undefined) {
                    pending.isUnanswered = true;
                }
                return;
            case "impossible":
                impossible.add(order.kind === "move" ? `${order.machine} ${order.pool}` : order.machine);
                discardOrder(order, worker);
                return;
            case "fenced":
            case "busy":
            case "notNow":
                discardOrder(order, worker);
        }
    }

    function discardOrder(order: MachineOrder, worker: Worker | undefined): void {
        pendingOrders.delete(order.machine);
        blockedUntilMs.set(order.machine, clocks.monotonicMs() + rejectedBackoffMs);
        release(worker);
        release(workerOf(machines.get(order.machine)));
    }

    return {
        machines,
        impossible,
        isKnown: () => listedAtMs > 0,
        async refresh() {
            releaseUnaffected();
            const ageMs = clocks.monotonicMs() - listedAtMs;
            if (ageMs > (pendingOrders.size > 0 ? pendingListIntervalMs : listIntervalMs)) {
                await readMachines();
            }
        },
        workerOf,
        hasPendingOrder: (worker) =>
            [...pendingOrders.values()].some(({ incarnationBefore }) => findIncarnation(incarnationBefore) === worker),
        isOrderable: canOrder,
        listIdle(wanted, reclaimed = new Set()) {
            const standby = opts.standby();
            const nowMs = clocks.monotonicMs();
            const idle: IdleMachine[] = [];
            for (const machine of machines.values()) {
                if (machine.state !== "up" || !canOrder(machine.id) || wanted.has(machine.id)) {
                    continue;
                }
                const worker = workerOf(machine);
                const isReclaimed = reclaimed.has(machine.id);
                const isIdle = machine.pool === standby
                    || (worker !== undefined && worker.runs.size === 0
                        && (isReclaimed ? isOperational(worker) : isInService(worker)));
                if (isIdle) {
                    idle.push({
                        id: machine.id,
                        pool: machine.pool,
                        cpuMillis: machine.capacity.cpuMillis,
                        idleMs: nowMs - (worker?.idleSinceMs ?? 0),
                        isEvacuated: isEvacuated(machine),
                        isReclaimed,
                    });
                }
            }
            return idle;
        },
        unassignedCpuMillis() {
            const standby = opts.standby();
            return [...machines.values()]
                .filter(({ id, pool, state }) => {
                    const pending = pendingOrders.get(id);
                    return pending === undefined
                        ? state === "moving" || (state === "up" && pool === standby)
                        : pending.wave === undefined && pending.targetPool === standby && state !== "down";
                })
                .reduce((sum, machine) => sum + (isEvacuated(machine) ? 0 : machine.capacity.cpuMillis), 0);
        },
        heldCpuMillis: (pool) =>
            [...machines.values()]
                .filter((machine) => (pendingOrders.get(machine.id)?.targetPool ?? machine.pool) === pool)
                .filter((machine) => machine.state !== "down" && !isEvacuated(machine))
                .reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0),
        listAgeMs: () => clocks.monotonicMs() - listedAtMs,
        comingCpuMillis: (pool) =>
            [...pendingOrders].filter(([id, pending]) => pending.targetPool === pool && !isEvacuated(machines.get(id)))
                .reduce((sum, [id]) => sum + (machines.get(id)?.capacity.cpuMillis ?? 0), 0),
        listMaintenance: (wave) =>
            [...pendingOrders].filter(([, pending]) => pending.wave === wave)
                .map(([machine, { isUnanswered, wasObservedInMaintenance }]) => ({
                    machine,
                    isUnanswered,
                    isObserved: wasObservedInMaintenance,
                })),
        send(list) {
            const nowMs = clocks.monotonicMs();
            for (const order of list) {
                const machine = machines.get(order.machine);
                const worker = workerOf(machine);
                if (worker !== undefined) {
                    worker.isReserved = true;
                }
                const known = pendingOrders.get(order.machine);
                pendingOrders.set(order.machine, {
                    targetPool: order.kind === "move" ? order.pool : machine?.pool ?? "",
                    workerIdBefore: known?.workerIdBefore ?? machine?.workerId,
                    incarnationBefore: worker ?? known?.incarnationBefore,
                    orderedAtMs: nowMs,
                    answeredAtMs: undefined,
                    isUnanswered: false,
                    wave: order.kind === "maintain" ? order.wave : undefined,
                    wasObservedAway: false,
                    wasObservedInMaintenance: known?.wasObservedInMaintenance ?? false,
                    polledAtMs: undefined,
                });
            }
            // Not awaited, because a slow answer of the platform's API must not delay the next decisions.
            void orders.send(list, applyResult);
        },
    };
}

/**
 * Whether the list shows that a worker has left its machine, because the machine is moving, in maintenance or has another
 * worker. The worker of a machine that is only down may still run tasks.
 */
function hasLeftMachine(worker: Worker, { state, workerId }: Machine): boolean {
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
