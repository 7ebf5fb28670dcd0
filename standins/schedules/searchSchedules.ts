import { createEvacuationSchedule, createSchedule } from "./createSchedule";
import type { Defect } from "./plantDefect";
import { runSchedule, type ScheduleResult } from "./runSchedule";
import type { Schedule } from "./schedule";
import { shrinkSchedule } from "./shrinkSchedule";
import { tellSchedule } from "./tellSchedule";

export interface SearchResult {
    readonly seed: number;
    readonly starts: number;
    /** Tenures that began with a standby's copy of the state. */
    readonly tenuresWithCopy: number;
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
    /** Whether standbys keep a copy of the state. */
    readonly hasCopies?: boolean;
}

/**
 * Lags of the standbys' copies, one for each seed in turn, in milliseconds. Without a lag, a copy contains everything by
 * the time at which a killed owner's lease has ended.
 */
const copyLagsMs = [0, 700, 3500];

/** Plays the schedules of a range of seeds. */
export async function* searchSchedules(opts: SearchOptions): AsyncGenerator<SearchResult> {
    const { first, count, maxTries, defect, hasCopies } = opts;
    for (let seed = first; seed < first + count; seed++) {
        const copyLagMs = copyLagsMs[seed % copyLagsMs.length];
        const run = (schedule: Schedule) => runSchedule(schedule, { defect, hasCopies, copyLagMs });
        const schedule = opts.hasEvacuations === true ? createEvacuationSchedule(seed) : createSchedule(seed);
        const result = await run(schedule);
        const common = { seed, starts: result.starts, tenuresWithCopy: result.tenuresWithCopy };
        const [violation] = result.violations;
        if (violation === undefined) {
            yield { ...common, broken: [], story: [] };
            continue;
        }
        const breaksSame = async (shorter: Schedule) =>
            (await run(shorter)).violations.some(({ rule }) => rule === violation.rule);
        const shortest = await shrinkSchedule(schedule, maxTries, breaksSame);
        yield { ...common, ...tell(shortest, await run(shortest)) };
    }
}

function tell(schedule: Schedule, { violations, record }: ScheduleResult): Pick<SearchResult, "broken" | "story"> {
    return {
        broken: violations.map(({ rule, text }) => `${rule}: ${text}`),
        story: [...tellSchedule(schedule), ...record],
    };
}
