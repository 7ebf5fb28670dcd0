import type { Configuration } from "../configuration";
import type { Peers } from "../peers";
import type { PoolIndex } from "../pools";
import { addAmounts, addSize, createAmounts, dominantShare, type MutableAmounts } from "./amounts";
import { createReports } from "./createReports";
import { createShareTable } from "./createShareTable";
import { createUrgentRight, type UrgentRight } from "./createUrgentRight";
import { fillShares } from "./fillShares";
import { type EntryRows, findPoorerEntry } from "./findPoorerEntry";
import { findReclaims } from "./findReclaims";
import type { ReportRow } from "./messages";
import type { Offers, Shares, Turn, WaitingWork } from "./shares";
import type { TeamUse } from "./teamUse";

export interface SharesOptions {
    readonly configuration: Pick<Configuration, "state" | "onChange">;
    readonly peers: Peers;
    readonly pools: PoolIndex;
    /** How often changes are told to other entries, in milliseconds. */
    readonly reportMs: number;
    /** From 0 up to 1; tests give a seeded one. */
    readonly random?: () => number;
}

interface OwnRow {
    readonly running: MutableAmounts;
    readonly urgentRight: UrgentRight;
    waiting?: WaitingWork | undefined;
}

/** A team's share, by dominant resource. */
interface Share {
    readonly amount: number;
    readonly demand: number;
    readonly isLight: boolean;
}

/** A team below its share that has waited this long at another entry is offered a slot, in milliseconds. */
const lateMs = 300;
const lightMargin = 1e-6;
/** Part of the last error that is corrected, and part of the correction that is kept, at each report. */
const biasGain = 0.15;
const biasKept = 0.9;
/** How long shares that were worked out stay good enough, in milliseconds. */
const sharesAgeMs = 100;
const noAmounts = createAmounts();
const noShare: Share = { amount: 0, demand: 0, isLight: true };

/** Divides each pool by weighted max-min over all entries' reports and this entry's own counts. */
export function createShares(opts: SharesOptions): Shares {
    const own = new Map<string, Map<string, OwnRow>>();
    const table = createShareTable();
    const listeners = new Set<(pool: string) => void>();
    const cached = new Map<string, { readonly atMs: number; readonly shares: ReadonlyMap<string, Share>; }>();
    const random = opts.random ?? Math.random;
    /** Pools in which other entries think that something waits here. */
    const wasTold = new Set<string>();
    const contended = new Set<string>();
    const biases = new Map<string, Map<string, number>>();
    let timer: NodeJS.Timeout | undefined;
    const reports = createReports({
        peers: opts.peers,
        table,
        reportMs: opts.reportMs,
        ownRows,
        reportedPools: () => [...own.keys()].filter((pool) => isContended(pool) || wasTold.has(pool)),
        onTold,
        onPeerChange,
    });

    function ownRow(pool: string, team: string): OwnRow {
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        own.set(pool, teams);
        const row = teams.get(team) ?? { running: createAmounts(), urgentRight: createUrgentRight() };
        teams.set(team, row);
        return row;
    }

    function ownRows(pool: string): readonly ReportRow[] {
        const nowMs = Date.now();
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        const rows = [...teams].map(([team, row]): ReportRow => {
            const { running, waiting } = row;
            const w = waiting?.amounts ?? noAmounts;
            const ageMs = waiting === undefined ? 0 : Math.max(0, nowMs - waiting.oldestAtMs);
            const { tasks, processors, memoryMb, accelerators } = running;
            const run = [tasks, processors, memoryMb, accelerators] as const;
            const wait = [w.tasks, w.processors, w.memoryMb, w.accelerators] as const;
            return [team, ...run, ...wait, urgentTasksOf(row), ageMs];
        });
        return rows;
    }

    /** Urgent tasks that may go ahead of their team's turn. */
    function urgentTasksOf({ waiting, urgentRight }: OwnRow): number {
        const tasks = waiting?.urgentTasks ?? 0;
        return tasks > 0 && urgentRight.isGiven() ? tasks : 0;
    }

    /** Forgets teams whose row of zeros has been told. */
    function onTold(pool: string): void {
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        wasTold.delete(pool);
        for (const [team, { running, waiting }] of teams) {
            if (waiting !== undefined) {
                wasTold.add(pool);
            }
            else if (running.tasks === 0) {
                teams.delete(team);
            }
        }
    }

    function hasWaiting(pool: string): boolean {
        return [...own.get(pool)?.values() ?? []].some(({ waiting }) => waiting !== undefined);
    }

    function isContended(pool: string): boolean {
        return hasWaiting(pool) || [...table.totals(pool)?.values() ?? []].some(({ waiting }) => waiting.tasks > 0);
    }

    function onPeerChange(pool: string): void {
        cached.delete(pool);
        noteContention(pool);
        listeners.forEach((listener) => listener(pool));
    }

    /** Where something begins to wait in a pool, all who run there tell what they run, which they had kept back. */
    function noteContention(pool: string): void {
        if (!isContended(pool)) {
            contended.delete(pool);
        }
        else if (!contended.has(pool)) {
            contended.add(pool);
            reports.hurry(pool);
        }
    }

    function weightOf(team: string): number {
        return opts.configuration.state()?.teams[team]?.weight ?? 1;
    }

    function useOf(pool: string, team: string): number {
        const capacity = opts.pools.find(pool)?.capacity ?? noAmounts;
        const sum = createAmounts();
        addAmounts(sum, own.get(pool)?.get(team)?.running ?? noAmounts, 1);
        addAmounts(sum, table.totals(pool)?.get(team)?.running ?? noAmounts, 1);
        return dominantShare(sum, capacity);
    }

    /** Every team that runs or waits in the pool, with what it uses and wants in the whole fleet. */
    function listUse(pool: string): readonly TeamUse[] {
        const capacity = opts.pools.find(pool)?.capacity ?? noAmounts;
        const teams = new Set([...own.get(pool)?.keys() ?? [], ...table.totals(pool)?.keys() ?? []]);
        return [...teams].map((team) => {
            const [mine, others] = [own.get(pool)?.get(team), table.totals(pool)?.get(team)];
            const running = sum(mine?.running, others?.running);
            const waiting = sum(mine?.waiting?.amounts, others?.waiting);
            const oldest = table.findLongestWaiting(pool, team)?.row.oldestAtMs ?? Infinity;
            return {
                team,
                weight: weightOf(team),
                running: dominantShare(running, capacity),
                runningTasks: running.tasks,
                runningHere: mine?.running.tasks ?? 0,
                waiting: dominantShare(waiting, capacity),
                waitingTasks: waiting.tasks,
                urgentTasks: (mine === undefined ? 0 : urgentTasksOf(mine)) + (others?.urgentTasks ?? 0),
                urgentElsewhere: others?.urgentTasks ?? 0,
                oldestAtMs: Math.min(oldest, mine?.waiting?.oldestAtMs ?? Infinity),
            };
        });
    }

    /**
     * Each team's share of what is running now. The pot is what runs, rather than the configured capacity, because
     * workers that are set aside or cannot be reached would make every team look below its share.
     */
    function sharesOf(pool: string): ReadonlyMap<string, Share> {
        const known = cached.get(pool);
        if (known !== undefined && Date.now() - known.atMs < sharesAgeMs) {
            return known.shares;
        }
        const use = listUse(pool);
        const pot = use.reduce((total, { running }) => total + running, 0);
        const demands = use.map((each) => ({ ...each, demand: each.running + each.waiting }));
        const amounts = fillShares(demands, pot);
        const shares = new Map(demands.map(({ team, demand }): [string, Share] => {
            const amount = amounts.get(team) ?? 0;
            return [team, { amount, demand, isLight: demand <= amount * (1 + lightMargin) }];
        }));
        cached.set(pool, { atMs: Date.now(), shares });
        return shares;
    }

    /** For each team the part of its demand that its share covers, by tasks. */
    function partsOf(pool: string): ReadonlyMap<string, number> {
        return new Map(
            [...sharesOf(pool)].map(([team, { amount, demand }]) => [team, demand > 0 ? amount / demand : 0]),
        );
    }

    function amountsOf(pool: string): ReadonlyMap<string, number> {
        return new Map([...sharesOf(pool)].map(([team, { amount }]) => [team, amount]));
    }

    interface Candidate {
        readonly team: string;
        /** Urgent work that may go ahead; what it takes counts against its team's further work. */
        readonly isUrgent: boolean;
        /** True where the team wants no more than its share: nobody else has a better claim. */
        readonly isLight: boolean;
        /** What this entry runs for it beyond its part of the share, by dominant resource. */
        readonly excess: number;
    }

    function ownCandidates(pool: string, teams: readonly string[]): readonly Candidate[] {
        const capacity = opts.pools.find(pool)?.capacity ?? noAmounts;
        const shares = sharesOf(pool);
        const rows = own.get(pool) ?? new Map<string, OwnRow>();
        let [ownSum, targetSum] = [0, 0];
        const targets = new Map<string, number>();
        rows.forEach(({ running, waiting }, team) => {
            const { amount, demand } = shares.get(team) ?? noShare;
            const inUse = dominantShare(running, capacity);
            const wanted = inUse + dominantShare(waiting?.amounts ?? noAmounts, capacity);
            const target = demand > 0 ? amount * wanted / demand : 0;
            targets.set(team, target);
            ownSum += inUse;
            targetSum += target;
        });
        return teams.flatMap((team) => {
            const row = rows.get(team);
            if (row?.waiting === undefined) {
                return [];
            }
            const share = shares.get(team) ?? noShare;
            const target = targetSum === 0 ? 0 : ownSum * (targets.get(team) ?? 0) / targetSum;
            const running = dominantShare(row.running, capacity);
            const excess = (running + biasOf(pool, team) - target) / weightOf(team);
            return [{ team, isUrgent: urgentTasksOf(row) > 0, isLight: share.isLight, excess }];
        });
    }

    /** The team with the best claim on a slot among those that have waited for a while at other entries. */
    function findPeerTurn(pool: string, hasOwn: boolean): Turn | undefined {
        const shares = sharesOf(pool);
        const capacity = opts.pools.find(pool)?.capacity ?? noAmounts;
        let best: { readonly team: string; readonly boot: string; readonly missing: number; } | undefined;
        for (const [team, { waiting, urgentTasks }] of table.totals(pool) ?? []) {
            const longest = waiting.tasks < 1 ? undefined : table.findLongestWaiting(pool, team);
            if (longest === undefined) {
                continue;
            }
            const oneTask = dominantShare(waiting, capacity) / waiting.tasks;
            const missing = ((shares.get(team)?.amount ?? 0) - useOf(pool, team)) / oneTask;
            const isLate = Date.now() - longest.row.oldestAtMs > lateMs && (missing > 1 || urgentTasks > 0);
            if ((!hasOwn || isLate) && (best === undefined || missing > best.missing)) {
                best = { team, boot: longest.boot, missing };
            }
        }
        return best === undefined ? undefined : { kind: "peer", team: best.team, boot: best.boot };
    }

    function partRows(pool: string): EntryRows {
        return [...own.get(pool) ?? []].map(([team, { running, waiting }]) =>
            [team, { running, waiting: waiting?.amounts }] as const
        );
    }

    function nextTurn(pool: string, ownTeams: readonly string[], offers: Offers): Turn {
        const mine = ownCandidates(pool, ownTeams).reduce(first, undefined);
        const isSettled = mine?.isUrgent === true || mine?.isLight === true;
        const isAsked = mine === undefined || offers === "always"
            || random() < 1 / (opts.peers.connected().length + 1);
        if (offers !== "none" && !isSettled && isAsked) {
            const peer = findPeerTurn(pool, mine !== undefined);
            if (peer !== undefined) {
                return peer;
            }
        }
        const poorer = offers !== "none" && !isSettled
            ? findPoorerEntry(partRows(pool), table.rowsByBoot(pool), partsOf(pool), random)
            : undefined;
        if (poorer !== undefined) {
            return poorer;
        }
        return mine === undefined ? { kind: "nobody" } : { kind: "own", team: mine.team };
    }

    function biasOf(pool: string, team: string): number {
        return biases.get(pool)?.get(team) ?? 0;
    }

    /**
     * Corrects this entry's part of each share by what the whole fleet had too much or too little at the last reports.
     * Every entry divides its own slots by its own counts, which are always right; the fleet's counts are late, and
     * entries that all followed them at once would swing from one team to the other.
     */
    function correct(): void {
        const pools = contendedPools();
        const entries = opts.peers.connected().length + 1;
        [...biases.keys()].filter((pool) => !pools.includes(pool)).forEach((pool) => biases.delete(pool));
        for (const pool of pools) {
            const shares = sharesOf(pool);
            const known = biases.get(pool) ?? new Map<string, number>();
            biases.set(pool, known);
            for (const { team, running } of listUse(pool)) {
                const excess = (running - (shares.get(team)?.amount ?? 0)) / entries;
                known.set(team, (known.get(team) ?? 0) * biasKept + excess * biasGain);
            }
        }
    }

    function contendedPools(): readonly string[] {
        return [...new Set([...[...own.keys()].filter(hasWaiting), ...table.waitingPools()])];
    }

    return {
        addRunning: (pool, team, size) => addSize(ownRow(pool, team).running, size, 1),
        noteFirstTurn: (pool, team, isUrgent) => ownRow(pool, team).urgentRight.noteStart(isUrgent),
        removeRunning: (pool, team, size) => addSize(ownRow(pool, team).running, size, -1),
        setWaiting(pool, team, waiting) {
            const row = ownRow(pool, team);
            const hasTurned = (waiting === undefined) !== (row.waiting === undefined);
            row.waiting = waiting;
            if (hasTurned) {
                noteContention(pool);
            }
        },
        nextTurn,
        noteOffer: (pool, team, boot) => table.moveOne(boot, pool, team),
        contendedPools,
        findReclaims: (pool) => findReclaims(listUse(pool), amountsOf(pool), Date.now(), random),
        isAtShare: (pool, team) => useOf(pool, team) >= (sharesOf(pool).get(team)?.amount ?? 0),
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {
            reports.start();
            timer = setInterval(correct, opts.reportMs);
        },
        stop() {
            reports.stop();
            clearInterval(timer);
        },
    };

    function first(best: Candidate | undefined, next: Candidate): Candidate {
        if (best === undefined) {
            return next;
        }
        const [bestRank, nextRank] = [rankOf(best), rankOf(next)];
        const isBetter = bestRank === nextRank ? next.excess < best.excess : nextRank < bestRank;
        return isBetter ? next : best;
    }

    function rankOf({ isUrgent, isLight }: Candidate): number {
        return isUrgent ? 0 : isLight ? 1 : 2;
    }
}

function sum(a: MutableAmounts | WaitingWork["amounts"] | undefined, b: MutableAmounts | undefined): MutableAmounts {
    const total = createAmounts();
    addAmounts(total, a ?? noAmounts, 1);
    addAmounts(total, b ?? noAmounts, 1);
    return total;
}
