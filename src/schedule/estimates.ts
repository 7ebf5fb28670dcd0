import type { Occurrence, Run, SubmissionEntry, Task } from "./board";
import { isStepReady } from "./entries";

/** Learns how long tasks of a queue really take against what clients declare. */
export interface Estimates {
    /** A sound run of a declared length took this long. */
    learn(route: string, declaredMs: number, tookMs: number): void;
    /** Expected time of one run, in milliseconds. */
    expectMs(task: Task): number;
}

/** Weight of the newest end in the learnt ratio: about the last 20 ends count. */
const learnWeight = 0.05;

/** A single end moves the ratio no further than this factor, so that one stalled run does not distort it. */
const maxRatio = 4;

/** Used where a client declares nothing, in milliseconds. */
const defaultTaskMs = 1000;

/**
 * Declared times may be off by a factor of two or three either way, as a whole queue or task by task. The queue's part
 * is learnt here; order and speculation go by it.
 */
export function createEstimates(): Estimates {
    const ratios = new Map<string, number>();
    return {
        learn(route, declaredMs, tookMs) {
            const ratio = Math.min(maxRatio, Math.max(1 / maxRatio, tookMs / Math.max(1, declaredMs)));
            const known = ratios.get(route) ?? 1;
            ratios.set(route, known + (ratio - known) * learnWeight);
        },
        expectMs({ owner, step }) {
            return (step.estimateMs || defaultTaskMs) * (ratios.get(owner.submission.route) ?? 1);
        },
    };
}

/** Work that a submission still has before it, in core-milliseconds. */
export function remainingWork(entry: SubmissionEntry, estimates: Estimates): number {
    let work = 0;
    for (const { tasks } of entry.occurrences) {
        for (const step of tasks) {
            const first = step[0];
            if (first === undefined || first.step.isLongRunning) {
                continue;
            }
            const left = step.reduce((sum, task) => task.phase === "done" ? sum : sum + 1 - doneShare(task.runs), 0);
            work += left * estimates.expectMs(first) * first.step.size.cpuMillis / 1000;
        }
    }
    return work;
}

/** Shortest time in which a submission can end from now on, in milliseconds: its longest chain of steps. */
export function remainingChainMs(entry: SubmissionEntry, estimates: Estimates): number {
    return Math.max(0, ...entry.occurrences.map((occurrence) => chainMs(occurrence, estimates, leftShare)));
}

/** Length of the longest chain of all steps of a submission, done or not, in milliseconds. */
export function wholeChainMs({ occurrences }: SubmissionEntry, estimates: Estimates): number {
    const [first] = occurrences;
    return first === undefined ? 0 : chainMs(first, estimates, () => 1);
}

/** `shareOf`: which part of a step counts. */
function chainMs(
    { tasks }: Occurrence,
    estimates: Estimates,
    shareOf: (step: readonly Task[]) => number,
): number {
    const ends: number[] = [];
    for (const step of tasks) {
        const first = step[0];
        const begin = Math.max(0, ...(first?.step.after ?? []).map((earlier) => ends[earlier] ?? 0));
        ends.push(begin + (first === undefined ? 0 : shareOf(step) * estimates.expectMs(first)));
    }
    return Math.max(0, ...ends);
}

/** The part of a step's time that is still before it. */
function leftShare(step: readonly Task[]): number {
    const open = step.filter(({ phase }) => phase !== "done");
    return Math.max(0, ...open.map(({ runs }) => 1 - doneShare(runs)));
}

function doneShare(runs: readonly Run[]): number {
    return runs.reduce((most, { percent }) => Math.max(most, percent), 0) / 100;
}

/** Processors that ready tasks without a run ask for, in thousandths. */
export function waitingCpuMillis(entry: SubmissionEntry): number {
    let cpuMillis = 0;
    for (const occurrence of entry.occurrences) {
        occurrence.tasks.forEach((step, number) => {
            if (isStepReady(occurrence, number)) {
                const waiting = step.filter(({ phase, runs }) => phase === "waiting" && runs.length === 0).length;
                cpuMillis += waiting * (step[0]?.step.size.cpuMillis ?? 0);
            }
        });
    }
    return cpuMillis;
}
