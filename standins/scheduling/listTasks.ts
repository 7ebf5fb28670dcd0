import { type SubmissionEntry, type Task, taskAt } from "../../src/schedule";

/** All tasks of a submission's open occurrences, started or not. */
export function listTasks(entry: SubmissionEntry): readonly Task[] {
    return [...entry.occurrences.values()].flatMap(({ steps }) =>
        steps.flatMap((tasks) => Array.from({ length: tasks.step.count }, (_, index) => taskAt(tasks, index)))
    );
}
