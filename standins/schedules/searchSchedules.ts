import { createEvacuationSchedule, createSchedule } from "./createSchedule";
import type { Defect } from "./plantDefect";
import { runSchedule, type ScheduleResult } from "./runSchedule";
import type { Schedule } from "./schedule";
import { shrinkSchedule } from "./shrinkSchedule";
import { tellSchedule } from "./tellSchedule";

export interface SearchResult {
    readonly seed: number;
    readonly starts: number;
    /** What was broken, and the shortest schedule that still breaks it; empty where all was kept. */
    readonly broken: readonly string[];
    readonly story: readonly string[];
}

export interface SearchOptions {
    readonly first: number;
    readonly count: number;
    /** How often a failing schedule is played again to make it shorter. */
    readonly maxTries: number;
    readonly defect?: Defect;
    /** Schedules with evacuations of availability zones. */
    readonly hasEvacuations?: boolean;
}

/** Plays the schedules of a range of seeds. */
export async function* searchSchedules(opts: SearchOptions): AsyncGenerator<SearchResult> {
    const { first, count, maxTries, defect } = opts;
    for (let seed = first; seed < first + count; seed++) {
        const schedule = opts.hasEvacuations === true ? createEvacuationSchedule(seed) : createSchedule(seed);
        const result = await runSchedule(schedule, defect);
        const [violation] = result.violations;
        if (violation === undefined) {
            yield { seed, starts: result.starts, broken: [], story: [] };
            continue;
        }
        const breaksSame = async (shorter: Schedule) =>
            (await runSchedule(shorter, defect)).violations.some(({ rule }) => rule === violation.rule);
        const shortest = await shrinkSchedule(schedule, maxTries, breaksSame);
        yield { seed, starts: result.starts, ...tell(shortest, await runSchedule(shortest, defect)) };
    }
}

function tell(schedule: Schedule, { violations, record }: ScheduleResult): Pick<SearchResult, "broken" | "story"> {
    return {
        broken: violations.map(({ rule, text }) => `${rule}: ${text}`),
        story: [...tellSchedule(schedule), ...record],
    };
}
