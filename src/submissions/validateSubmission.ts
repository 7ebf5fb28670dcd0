import type { SubmissionRequest } from "./submission";

/** Largest payload of a submission, in bytes; a limit of the clients' API. */
const maxPayloadBytes = 4000;

/** Describes what is invalid in a request; `undefined` where it is valid. */
export function validateSubmission({ payload, steps, schedule }: SubmissionRequest): string | undefined {
    if (Buffer.byteLength(payload) > maxPayloadBytes) {
        return `the payload is above ${maxPayloadBytes} bytes`;
    }
    if (steps.length === 0) {
        return "there is no step";
    }
    for (const [index, step] of steps.entries()) {
        if (step.count < 1) {
            return `step ${index} has no task`;
        }
        if (step.after.some((earlier) => earlier < 0 || earlier >= index)) {
            return `step ${index} waits for a step that is not before it`;
        }
    }
    return schedule.repeats > 0 && schedule.intervalMs <= 0
        ? "a repeated submission needs an interval"
        : undefined;
}
