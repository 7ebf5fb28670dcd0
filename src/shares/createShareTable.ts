import { addAmounts, createAmounts, type MutableAmounts } from "./amounts";
import type { ReportRow } from "./messages";

/** Running and waiting tasks of one team in one pool at one entry. */
export interface ShareRow {
    readonly running: MutableAmounts;
    readonly waiting: MutableAmounts;
    urgentTasks: number;
    oldestAtMs: number;
}

type Rows = Map<string, Map<string, ShareRow>>;

/** Rows that other entries have reported, with their sum per pool and team. */
export interface ShareTable {
    /** Returns the sums over all other entries by team. `undefined` if none of them has reported the pool. */
    totals(pool: string): ReadonlyMap<string, ShareRow> | undefined;
    set(boot: string, pool: string, row: ReportRow, nowMs: number): void;
    /** Counts one waiting task as running until the entry's next report. */
    assumeStarted(boot: string, pool: string, team: string): void;
    removeEntry(boot: string): void;
    boots(): readonly string[];
    /** Returns the entry at which the team has waited longest. */
    findLongestWaiting(pool: string, team: string): { readonly boot: string; readonly row: ShareRow; } | undefined;
    /** Returns each entry's rows of the pool, by team. */
    rowsByBoot(pool: string): readonly (readonly [string, ReadonlyMap<string, ShareRow>])[];
    waitingPools(): readonly string[];
}

export function createShareTable(): ShareTable {
    const byBoot = new Map<string, Rows>();
    const sums: Rows = new Map();

    function addToSum(pool: string, team: string, row: ShareRow, sign: 1 | -1): void {
        const sum = ensureRow(sums, pool, team);
        addAmounts(sum.running, row.running, sign);
        addAmounts(sum.waiting, row.waiting, sign);
        sum.urgentTasks += sign * row.urgentTasks;
        if (sum.running.tasks <= 0 && sum.waiting.tasks <= 0) {
            sums.get(pool)?.delete(team);
        }
    }

    return {
        totals: (pool) => sums.get(pool),
        set(boot, pool, [team, rt, rp, rm, ra, wt, wp, wm, wa, urgentTasks, ageMs], nowMs) {
            const rows = byBoot.get(boot) ?? new Map();
            byBoot.set(boot, rows);
            const row = ensureRow(rows, pool, team);
            addToSum(pool, team, row, -1);
            Object.assign(row.running, { tasks: rt, processors: rp, memoryMb: rm, accelerators: ra });
            Object.assign(row.waiting, { tasks: wt, processors: wp, memoryMb: wm, accelerators: wa });
            row.urgentTasks = urgentTasks;
            row.oldestAtMs = nowMs - ageMs;
            addToSum(pool, team, row, 1);
            if (rt === 0 && wt === 0) {
                rows.get(pool)?.delete(team);
            }
        },
        assumeStarted(boot, pool, team) {
            const row = byBoot.get(boot)?.get(pool)?.get(team);
            if (row === undefined || row.waiting.tasks === 0) {
                return;
            }
            addToSum(pool, team, row, -1);
            const one = scale(row.waiting, 1 / row.waiting.tasks);
            addAmounts(row.waiting, one, -1);
            addAmounts(row.running, one, 1);
            addToSum(pool, team, row, 1);
        },
        removeEntry(boot) {
            byBoot.get(boot)?.forEach((teams, pool) => teams.forEach((row, team) => addToSum(pool, team, row, -1)));
            byBoot.delete(boot);
        },
        boots: () => [...byBoot.keys()],
        findLongestWaiting(pool, team) {
            let best: { readonly boot: string; readonly row: ShareRow; } | undefined;
            for (const [boot, rows] of byBoot) {
                const row = rows.get(pool)?.get(team);
                if (
                    row !== undefined && row.waiting.tasks >= 1
                    && (best === undefined || row.oldestAtMs < best.row.oldestAtMs)
                ) {
                    best = { boot, row };
                }
            }
            return best;
        },
        rowsByBoot: (pool) =>
            [...byBoot].flatMap(([boot, rows]) => {
                const teams = rows.get(pool);
                return teams === undefined ? [] : [[boot, teams] as const];
            }),
        waitingPools: () =>
            [...sums].filter(([, teams]) => [...teams.values()].some(({ waiting }) => waiting.tasks > 0))
                .map(([pool]) => pool),
    };
}

function ensureRow(rows: Rows, pool: string, team: string): ShareRow {
    const teams = rows.get(pool) ?? new Map<string, ShareRow>();
    rows.set(pool, teams);
    const row = teams.get(team) ?? {
        running: createAmounts(),
        waiting: createAmounts(),
        urgentTasks: 0,
        oldestAtMs: 0,
    };
    teams.set(team, row);
    return row;
}

function scale(amounts: MutableAmounts, factor: number): MutableAmounts {
    return {
        tasks: amounts.tasks * factor,
        processors: amounts.processors * factor,
        memoryMb: amounts.memoryMb * factor,
        accelerators: amounts.accelerators * factor,
    };
}
