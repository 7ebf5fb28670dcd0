import type { Act, Schedule } from "./schedule";

/** A schedule as a short story, a line for each thing that happens. */
export function tellSchedule({ seed, entries, isBusy, workers, submissions, acts }: Schedule): readonly string[] {
    const lines = [
        ...submissions.map(({ id, atMs, steps }) => ({ atMs, text: `submit ${id} ${JSON.stringify(steps)}` })),
        ...acts.map((act) => ({ atMs: act.atMs, text: tellAct(act) })),
    ];
    return [
        `seed ${seed}: ${entries} entries${isBusy ? ", busy" : ""}; ${workers.size} workers`,
        ...lines.sort((a, b) => a.atMs - b.atMs).map(({ atMs, text }) => `${atMs} ${text}`),
    ];
}

function tellAct({ kind, atMs: _atMs, ...rest }: Act): string {
    return [kind, ...Object.entries(rest).map(([name, value]) => `${name} ${String(value)}`)].join(" ");
}
