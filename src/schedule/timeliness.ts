import type { QueueTerms } from "../policy";
import { targetAgeMs } from "./estimateRemaining";
import type { RemainingEstimate } from "./schedulerState";

/** When a submission was complete, compared with its target. */
export const Timeliness = { inTime: "inTime", late: "late", tooLate: "tooLate" } as const;
export type Timeliness = (typeof Timeliness)[keyof typeof Timeliness];

/** Multiple of its target up to which the result of a late submission is of use to its caller. */
export const maxUsefulTargets = 3;

/** Timeliness of a submission that ends, or can end, at an age in milliseconds. */
export function findTimeliness(
    ageMs: number,
    queue: Pick<QueueTerms, "targetLatencyMs" | "stretch">,
    estimate: RemainingEstimate,
): Timeliness {
    const targetMs = targetAgeMs(queue, estimate);
    return ageMs <= targetMs
        ? Timeliness.inTime
        : ageMs <= maxUsefulTargets * targetMs
        ? Timeliness.late
        : Timeliness.tooLate;
}
