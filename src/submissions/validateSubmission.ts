import type { SubmissionRequest } from "./submission";

/** Largest payload of a submission, in bytes; a limit of the clients' API. */
const maxPayloadBytes = 4000;

/** Describes what is invalid in a request; `undefined` where it is valid. */
export function validateSubmission({ payload, steps, schedule }: SubmissionRequest): string | undefined {
    if (Buffer.byteLength(payload) > maxPayloadBytes) {
        return `the payload exceeds ${maxPayloadBytes} bytes`;
    }
    if (steps.length === 0) {
        return "the submission has no steps";
    }
    for (const [index, step] of steps.entries()) {
        if (step.count < 1) {
            return `step ${index} has no tasks`;
        }
        if (step.after.some((earlier) => earlier < 0 || earlier >= index)) {
            return `step ${index} depends on a step that does not precede it`;
        }
    }
    return schedule.repeats > 0 && schedule.intervalMs <= 0
        ? "a repeated submission needs an interval above 0 ms"
        : undefined;
}
