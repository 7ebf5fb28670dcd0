import type { Act, Schedule, SubmissionPlan } from "./schedule";

/** Leaves out one act, submission or task after the other for as long as the schedule still fails. */
export async function shrinkSchedule(
    schedule: Schedule,
    maxTries: number,
    isBroken: (shorter: Schedule) => Promise<boolean>,
): Promise<Schedule> {
    let shortest = schedule;
    let tries = 0;
    for (let hasShrunk = true; hasShrunk;) {
        hasShrunk = false;
        for (let at = 0; at < listShorter(shortest).length && tries < maxTries;) {
            const shorter = listShorter(shortest)[at]!;
            tries++;
            if (await isBroken(shorter)) {
                shortest = shorter;
                hasShrunk = true;
            }
            else {
                at++;
            }
        }
    }
    return shortest;
}

function listShorter(schedule: Schedule): readonly Schedule[] {
    const { acts, submissions } = schedule;
    return [
        ...acts.map((act) => ({ ...schedule, acts: acts.filter((other) => other !== act) })),
        ...submissions.map((submission) => withoutSubmission(schedule, submission)),
        ...schedule.isBusy ? [{ ...schedule, isBusy: false }] : [],
        ...acts.flatMap((act) => narrow(act).map((next) => ({ ...schedule, acts: replace(acts, act, next) }))),
        ...submissions.flatMap((submission) =>
            shorten(submission).map((next) => ({ ...schedule, submissions: replace(submissions, submission, next) }))
        ),
    ];
}

function withoutSubmission(schedule: Schedule, submission: SubmissionPlan): Schedule {
    return {
        ...schedule,
        submissions: schedule.submissions.filter((other) => other !== submission),
        acts: schedule.acts.filter((act) => act.kind !== "cancel" || act.id !== submission.id),
    };
}

/** The same fault on one worker fewer. */
function narrow(act: Act): readonly Act[] {
    return act.kind === "workerFault" && act.workers.length > 1
        ? act.workers.map((left) => ({ ...act, workers: act.workers.filter((worker) => worker !== left) }))
        : [];
}

function shorten(submission: SubmissionPlan): readonly SubmissionPlan[] {
    const { steps } = submission;
    return [
        ...steps.length > 1 ? [{ ...submission, steps: steps.slice(0, -1) }] : [],
        ...steps.flatMap((step) =>
            step.count > 1
                ? [{ ...submission, steps: replace(steps, step, { ...step, count: step.count - 1 }) }]
                : []
        ),
    ];
}

function replace<T>(items: readonly T[], old: T, next: T): readonly T[] {
    return items.map((item) => item === old ? next : item);
}
