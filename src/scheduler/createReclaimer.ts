import { chooseReclaims, type Machine, type ReclaimCandidate, type ReclaimOptions } from "../machines";
import {
    acceptsNewWork,
    type DurationEstimates,
    isOperational,
    type Run,
    type SchedulerState,
    type Worker,
} from "../schedule";

export interface ReclaimerOptions {
    readonly state: SchedulerState;
    readonly estimates: DurationEstimates;
    /** Time from the decision to move a machine until it takes work, in milliseconds. */
    readonly joinMs: number;
}

/** A machine and the worker that runs on it. */
export interface OccupiedMachine {
    readonly machine: Pick<Machine, "id" | "pool" | "capacity">;
    readonly worker: Worker;
}

export interface ReclaimRound extends Pick<ReclaimOptions, "pools" | "entitlements" | "impossibleMoves"> {
    /** Machines that no order, wave or evacuation concerns. */
    readonly machines: readonly OccupiedMachine[];
    readonly nowMs: number;
}

/** Whether an order or a wave has taken over a machine. */
export type IsTakenOver = (id: string, worker: Worker) => boolean;

/** Lets machines run empty that pools hold beyond their entitlements, for pools that are below theirs. */
export interface Reclaimer {
    /** Ids of the machines that are kept free of new work. */
    readonly reclaimed: ReadonlySet<string>;
    /** Cores of these machines in a pool, in thousandths. */
    reclaimedCpuMillis(pool: string): number;
    /** Number of these machines in a pool. */
    countReclaimed(pool: string): number;
    /**
     * Gives up machines that an order or a wave has taken over. Their reservation is not ended: whoever has taken them
     * over ends it.
     */
    handOver(isTakenOver: IsTakenOver): void;
    /** Chooses the machines that are kept free of new work from now on, and lets the others take work again. */
    decide(round: ReclaimRound): void;
    /** Lets all machines take work again. */
    releaseAll(): void;
}

/**
 * A machine stays in its pool for at least this multiple of the time that it needs to join. With less, a machine could spend
 * more time on its way than at work.
 */
const minStayFactor = 2;

/** Creates a reclaimer for all pools. Its choices are not stored: under the next leader the machines take work again. */
export function createReclaimer(opts: ReclaimerOptions): Reclaimer {
    const { state, estimates } = opts;
    const held = new Map<string, Worker>();
    const reclaimed = new Set<string>();

    const listHeld = (pool: string) => [...held.values()].filter((worker) => worker.pool === pool);

    function remove(id: string): void {
        held.delete(id);
        reclaimed.delete(id);
    }

    function release(id: string, worker: Worker): void {
        worker.isReserved = false;
        remove(id);
    }

    function toCandidate({ machine, worker }: OccupiedMachine, nowMs: number): ReclaimCandidate {
        const { runList } = worker;
        const runs = [...worker.runs];
        return {
            id: machine.id,
            pool: machine.pool,
            cpuMillis: machine.capacity.cpuMillis,
            emptyInMs: Math.max(0, ...runs.map((run) => remainingMs(run, nowMs))),
            stayedMs: runList.kind === "read" ? nowMs - runList.firstReadAtMs : 0,
            hasLongRunning: runs.some(({ task }) => task.step.isLongRunning),
            isReclaimed: held.has(machine.id),
        };
    }

    function remainingMs({ task, percent, plannedAtMs }: Run, nowMs: number): number {
        const expectedMs = estimates.expectedDurationMs(task);
        return Math.max(0, Math.min(expectedMs * (1 - percent / 100), expectedMs - (nowMs - plannedAtMs)));
    }

    return {
        reclaimed,
        reclaimedCpuMillis: (pool) => listHeld(pool).reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0),
        countReclaimed: (pool) => listHeld(pool).length,
        handOver(isTakenOver) {
            for (const [id, worker] of held) {
                // The next incarnation of a worker is another object, without the reservation.
                if (state.workers.get(worker.id) !== worker || isTakenOver(id, worker)) {
                    remove(id);
                }
            }
        },
        decide(round) {
            const machines = round.machines.filter(({ machine, worker }) =>
                held.get(machine.id) === worker ? isOperational(worker) : acceptsNewWork(worker)
            );
            const chosen = new Set(chooseReclaims({
                pools: round.pools,
                entitlements: round.entitlements,
                impossibleMoves: round.impossibleMoves,
                candidates: machines.map((machine) => toCandidate(machine, round.nowMs)),
                minStayMs: minStayFactor * opts.joinMs,
            }));
            [...held].filter(([id]) => !chosen.has(id)).forEach(([id, worker]) => release(id, worker));
            for (const { machine, worker } of machines.filter(({ machine: { id } }) => chosen.has(id))) {
                worker.isReserved = true;
                held.set(machine.id, worker);
                reclaimed.add(machine.id);
            }
        },
        releaseAll: () => held.forEach((worker, id) => release(id, worker)),
    };
}
