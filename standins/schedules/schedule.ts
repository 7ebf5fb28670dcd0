import type { StoreFault, WorkerFault } from "../scheduling";

export interface StepPlan {
    readonly kind: "plain" | "speculative" | "longRunning";
    readonly count: number;
    readonly workMs: number;
    readonly estimateMs: number;
    /** Numbers of earlier steps that have to be done first. */
    readonly after: readonly number[];
}

export interface SubmissionPlan {
    readonly id: string;
    readonly atMs: number;
    readonly steps: readonly StepPlan[];
}

/** Which of the entries an act is done to, chosen when it is done. */
export type EntryChoice = "owner" | "other";

/** Something that is done to the world; whatever lasts ends by itself after `forMs`. */
export type Act =
    | { readonly kind: "cancel"; readonly atMs: number; readonly id: string; }
    | {
        readonly kind: "workerFault";
        readonly atMs: number;
        readonly forMs: number;
        readonly workers: readonly string[];
        readonly fault: WorkerFault;
    }
    /** The worker is gone and comes back as a new life under its id. */
    | {
        readonly kind: "crash";
        readonly atMs: number;
        readonly forMs: number;
        readonly worker: string;
        readonly isUnlisted: boolean;
    }
    /** The worker's entry expires in the store while the worker lives. */
    | { readonly kind: "unlist"; readonly atMs: number; readonly forMs: number; readonly worker: string; }
    | { readonly kind: "loseStarts"; readonly atMs: number; readonly worker: string; readonly count: number; }
    | {
        readonly kind: "storeFault";
        readonly atMs: number;
        readonly forMs: number;
        readonly of: EntryChoice | "all";
        readonly fault: StoreFault;
        /** Leases do not run meanwhile, as in some outages. */
        readonly isPausingLeases: boolean;
    }
    | { readonly kind: "slowStore"; readonly atMs: number; readonly forMs: number; readonly answerMs: number; }
    | { readonly kind: "forgetHistory"; readonly atMs: number; }
    | { readonly kind: "cutWatches"; readonly atMs: number; }
    | { readonly kind: "kill"; readonly atMs: number; readonly entry: EntryChoice; }
    | { readonly kind: "stop"; readonly atMs: number; readonly entry: EntryChoice; }
    | { readonly kind: "freeze"; readonly atMs: number; readonly forMs: number; readonly entry: EntryChoice; }
    | { readonly kind: "unfit"; readonly atMs: number; readonly forMs: number; }
    /** Nothing that the owner sends reaches one of its peers. */
    | { readonly kind: "cutPeer"; readonly atMs: number; readonly forMs: number; }
    | { readonly kind: "freezePeers"; readonly atMs: number; readonly forMs: number; }
    | { readonly kind: "addEntry"; readonly atMs: number; }
    /** Nothing may be started in an availability zone. */
    | { readonly kind: "evacuate"; readonly atMs: number; readonly forMs: number; readonly zone: string; };

/** What is handed in, cancelled and broken, and when; times count from the start. */
export interface Schedule {
    readonly seed: number;
    readonly entries: number;
    /** Whether entries have their peers call the workers. */
    readonly isBusy: boolean;
    /** How fast the clock of each worker runs. */
    readonly workers: ReadonlyMap<string, number>;
    /** Availability zones of the workers, by id; all in one where none is given. */
    readonly zones: ReadonlyMap<string, string>;
    readonly submissions: readonly SubmissionPlan[];
    readonly acts: readonly Act[];
}

/** When an act is over. */
export function endOf(act: Act): number {
    return act.atMs + ("forMs" in act ? act.forMs : 0);
}

/** From when on nothing is wrong and nothing is handed in. */
export function calmFrom({ submissions, acts }: Schedule): number {
    return Math.max(0, ...submissions.map(({ atMs }) => atMs), ...acts.map(endOf));
}

/** The step of a task by the task's name. */
export function findStep({ submissions }: Schedule, task: string): StepPlan | undefined {
    const [id, , step] = task.split(".");
    return submissions.find((submission) => submission.id === id)?.steps[Number(step)];
}

/** Names of the tasks of one step. */
export function tasksOfStep({ id, steps }: SubmissionPlan, step: number): readonly string[] {
    return Array.from({ length: steps[step]?.count ?? 0 }, (_, index) => `${id}.0.${step}.${index}`);
}
