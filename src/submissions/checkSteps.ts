import type { SubmissionRequest } from "./submission";

/** Largest payload of a submission, in bytes (limit of the clients' interface). */
const maxPayloadBytes = 4000;

/** Tells what is wrong with a request; `undefined` where it can be taken. */
export function findFault({ payload, steps, schedule }: SubmissionRequest): string | undefined {
    if (Buffer.byteLength(payload) > maxPayloadBytes) {
        return `the payload is above ${maxPayloadBytes} bytes`;
    }
    if (steps.length === 0) {
        return "there is no step";
    }
    for (const [number, step] of steps.entries()) {
        if (step.count < 1) {
            return `step ${number} has no task`;
        }
        if (step.after.some((earlier) => earlier < 0 || earlier >= number)) {
            return `step ${number} waits for a step that is not before it`;
        }
    }
    return schedule.repeats > 0 && schedule.intervalMs <= 0 ? "a repeated submission needs an interval" : undefined;
}
