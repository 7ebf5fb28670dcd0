import { installClock } from "../dispatch";
import { createSchedulingWorld, type SchedulingWorld } from "../scheduling";
import { createActor } from "./createActor";
import { createCalm } from "./createCalm";
import { createIdleWatch } from "./createIdleWatch";
import { judgeRun, type Violation } from "./judgeRun";
import { type Defect, plantDefect, skipCatchUp } from "./plantDefect";
import { calmFrom, endOf, findStep, type Schedule, type SubmissionPlan } from "./schedule";

export interface ScheduleResult {
    readonly violations: readonly Violation[];
    readonly starts: number;
    /** Tenures that began with a standby's copy of the state. */
    readonly tenuresWithCopy: number;
    /** What the workers did and the owners decided, for reading a failure. */
    readonly record: readonly string[];
}

/** Stand-ins move on each few milliseconds. */
const stepMs = 10;

/**
 * Everything has ended this long after the calm began, in milliseconds: the longest lease of a worker (6 s) and an
 * unfit owner (3 s) are waited out, a queue of the longest chains runs three times where tasks fail.
 */
const settleMs = 45_000;

/** What is settled is watched for this much longer, in milliseconds: a late order is carried out by then. */
const watchOnMs = 3000;

export interface RunOptions {
    readonly defect?: Defect | undefined;
    /** Whether standbys keep a copy of the state. */
    readonly hasCopies?: boolean | undefined;
    /** How long answers to the watches of these copies are held up, in milliseconds. */
    readonly copyLagMs?: number | undefined;
}

/** Plays a schedule on the paused clock. */
export async function runSchedule(schedule: Schedule, opts: RunOptions = {}): Promise<ScheduleResult> {
    const { defect } = opts;
    const clock = installClock();
    const world = createSchedulingWorld(
        {
            ...defect === undefined ? {} : { workerApiOf: (api) => plantDefect(api, defect) },
            ...defect === "copiesNotCaughtUp" ? { copyOf: skipCatchUp } : {},
        },
    );
    world.areStandbysDesignated = opts.hasCopies === true;
    world.copyLagMs = opts.copyLagMs ?? 0;
    world.areBusy = schedule.isBusy;
    world.areEvacuationsHeard = defect !== "evacuationsUnheard";
    world.workers.setWorkMs((task) => findStep(schedule, task)?.workMs ?? 0);
    const actor = createActor(world, schedule);
    const watch = createIdleWatch(schedule, world);
    const due = listDue(schedule, world, actor.perform);
    const endMs = calmFrom(schedule) + settleMs;
    let settledAtMs: number | undefined;
    try {
        for (let nowMs = 0; nowMs < endMs && nowMs < (settledAtMs ?? endMs) + watchOnMs; nowMs += stepMs) {
            while (due[0] !== undefined && due[0].atMs <= nowMs) {
                due.shift()?.run();
            }
            await clock.advance(stepMs);
            world.tick();
            watch.look();
            settledAtMs = watch.isSettled() ? settledAtMs ?? nowMs : undefined;
        }
        return {
            violations: [...judgeRun(schedule, world, createCalm(schedule)), ...watch.violations],
            starts: world.workers.events.filter(({ kind }) => kind === "started").length,
            tenuresWithCopy: world.events().filter((event) =>
                event.kind === "stateLoaded" && event.source === "copy"
            ).length,
            record: tellEvents(world),
        };
    }
    finally {
        world.close();
        clock.uninstall();
    }
}

interface Due {
    readonly atMs: number;
    run(): void;
}

function listDue(
    { submissions, acts }: Schedule,
    world: SchedulingWorld,
    perform: (act: Schedule["acts"][number]) => () => void,
): Due[] {
    const due: Due[] = submissions.map((submission) => ({
        atMs: submission.atMs,
        run: () => submit(world, submission),
    }));
    for (const act of acts) {
        let end = () => {};
        due.push({ atMs: act.atMs, run: () => void (end = perform(act)) });
        due.push({ atMs: endOf(act), run: () => end() });
    }
    return due.sort((a, b) => a.atMs - b.atMs);
}

function submit(world: SchedulingWorld, { id, steps }: SubmissionPlan): void {
    world.submit(
        id,
        steps.map(({ kind, count, estimateMs, after }) => ({
            count,
            estimateMs: Number.isFinite(estimateMs) ? estimateMs : 500,
            after,
            isSpeculative: kind === "speculative",
            isLongRunning: kind === "longRunning",
        })),
    );
}

function tellEvents(world: SchedulingWorld): readonly string[] {
    return world.workers.events.map(({ atMs, worker, kind, task, run, isAcked }) =>
        `${atMs} ${worker} ${kind} ${task} run ${run}${isAcked ? ", acknowledged" : ""}`
    );
}
