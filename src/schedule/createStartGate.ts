import type { Resources } from "../resources";
import { hasAttemptLeft } from "./attempts";
import { isWithinTenantLimit } from "./isWithinTenantLimit";
import { placeUnit, type PlaceUnitOptions } from "./placeUnit";
import type { PlacementUnit } from "./rankSubmissions";
import type { Run, SchedulerState, Worker } from "./schedulerState";

export interface StartGateOptions extends PlaceUnitOptions {
    readonly state: SchedulerState;
    /** Limit of a client account over all workers; `undefined`: none. */
    readonly capOf: (account: string | undefined) => Resources | undefined;
    /** Bound on the starts of the round. The last unit may exceed it. */
    readonly maxStarts: number;
}

/** What every new run of a planning round has to pass, whichever planner proposes it. */
export interface StartGate {
    /** Whether an account may run `count` more tasks of a size. */
    isWithinLimit(account: string | undefined, size: Resources, count: number): boolean;
    /** Whether the tasks may be started on some worker: attempts and the limit of the account. */
    isAllowed(unit: PlacementUnit): boolean;
    /**
     * Adds runs for all tasks of a unit, on workers that its queue allows, or for none.
     *
     * @param excluded workers that already run the task
     */
    place(unit: PlacementUnit, workers: readonly Worker[], excluded?: ReadonlySet<Worker>): readonly Run[];
}

/** Creates the gate of one planning round. */
export function createStartGate(opts: StartGateOptions): StartGate {
    const { state, capOf } = opts;
    let started = 0;

    function isWithinLimit(account: string | undefined, size: Resources, count: number): boolean {
        return isWithinTenantLimit(state, account, capOf(account), size, count);
    }

    function isAllowed({ entry, tasks }: PlacementUnit): boolean {
        const size = tasks[0]?.step.size;
        return size !== undefined && tasks.every(hasAttemptLeft)
            && isWithinLimit(entry.submission.tenant, size, tasks.length);
    }

    return {
        isWithinLimit,
        isAllowed,
        place(unit, workers, excluded) {
            if (started >= opts.maxStarts || !isAllowed(unit)) {
                return [];
            }
            const runs = placeUnit(unit, workers, opts, excluded);
            started += runs.length;
            return runs;
        },
    };
}
