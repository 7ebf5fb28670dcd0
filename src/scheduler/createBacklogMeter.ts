import type { LoadMeasurement } from "../admission";
import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { Policy } from "../policy";
import type { AccountLimits, DurationEstimates, SchedulerState, SubmissionEntry } from "../schedule";
import type { MeasuredDemand } from "./createFleetController";
import { measureBacklog } from "./measureBacklog";

export interface BacklogMeterOptions {
    readonly state: SchedulerState;
    readonly estimates: DurationEstimates;
    readonly tenure: Tenure;
    readonly clocks: Clocks;
    readonly policy: () => Policy | undefined;
    readonly capOf: AccountLimits["capOf"];
    readonly latestDemand: () => MeasuredDemand | undefined;
    /** Whether a submission was accepted beyond the rate of its account. */
    readonly isExcess: (entry: SubmissionEntry) => boolean;
}

/** No load is measured in the first part of a tenure, in milliseconds: workers and machines are still being read. */
const settlingMs = 1000;

/** A demand that was measured longer ago is not used, in milliseconds: machines may have changed pools. */
const maxDemandAgeMs = 1000;

/** Creates a function that measures what new excess submissions would wait for; `undefined` while that is not known. */
export function createBacklogMeter(opts: BacklogMeterOptions): () => LoadMeasurement | undefined {
    const { state, estimates, tenure, clocks } = opts;
    const startedAtMs = clocks.monotonicMs();
    return () => {
        const nowMs = clocks.monotonicMs();
        const [policy, demand] = [opts.policy(), opts.latestDemand()];
        if (policy === undefined || demand === undefined || !tenure.isValid() || nowMs - startedAtMs < settlingMs) {
            return undefined;
        }
        const ageMs = nowMs - demand.atMs;
        if (ageMs > maxDemandAgeMs) {
            return undefined;
        }
        const pools = measureBacklog({
            state,
            policy,
            capOf: opts.capOf,
            estimates,
            demand: demand.pools,
            idle: demand.idle,
            isExcess: opts.isExcess,
            nowMs,
            timeOfDayMs: Date.now(),
        });
        return { token: tenure.token, pools, ageMs };
    };
}
