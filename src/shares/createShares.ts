import type { Configuration } from "../configuration";
import type { Peers } from "../peers";
import type { PoolIndex } from "../pools";
import { addAmounts, addSize, createAmounts, dominantShare, type MutableAmounts } from "./amounts";
import { createReports } from "./createReports";
import { createShareTable, type ShareRow } from "./createShareTable";
import { fillShares } from "./fillShares";
import { findReclaims } from "./findReclaims";
import type { ReportRow } from "./messages";
import type { Shares, Turn, WaitingWork } from "./shares";
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
    waiting?: WaitingWork | undefined;
}

/** How much longer a team must have waited at another entry for that entry to go first, in milliseconds. */
const olderByMs = 500;
/** How long shares that were worked out stay good enough, in milliseconds. */
const sharesAgeMs = 100;
const noAmounts = createAmounts();

/** Divides each pool by weighted max-min over all entries' reports and this entry's own counts. */
export function createShares(opts: SharesOptions): Shares {
    const own = new Map<string, Map<string, OwnRow>>();
    const table = createShareTable();
    const listeners = new Set<(pool: string) => void>();
    const cached = new Map<string, { readonly atMs: number; readonly shares: ReadonlyMap<string, number>; }>();
    const random = opts.random ?? Math.random;
    /** Pools in which other entries think that something waits here. */
    const wasTold = new Set<string>();
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
        const row = teams.get(team) ?? { running: createAmounts() };
        teams.set(team, row);
        return row;
    }

    function ownRows(pool: string): readonly ReportRow[] {
        const nowMs = Date.now();
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        const rows = [...teams].map(([team, { running, waiting }]): ReportRow => {
            const w = waiting?.amounts ?? noAmounts;
            const ageMs = waiting === undefined ? 0 : Math.max(0, nowMs - waiting.oldestAtMs);
            const { tasks, processors, memoryMb, accelerators } = running;
            const run = [tasks, processors, memoryMb, accelerators] as const;
            const wait = [w.tasks, w.processors, w.memoryMb, w.accelerators] as const;
            return [team, ...run, ...wait, waiting?.urgentTasks ?? 0, ageMs];
        });
        return rows;
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
        if (own.has(pool) && isContended(pool) && !wasTold.has(pool)) {
            reports.hurry();
        }
        listeners.forEach((listener) => listener(pool));
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
                urgentTasks: (mine?.waiting?.urgentTasks ?? 0) + (others?.urgentTasks ?? 0),
                oldestAtMs: Math.min(oldest, mine?.waiting?.oldestAtMs ?? Infinity),
            };
        });
    }

    /**
     * Each team's share of what is running now. The pot is what runs, rather than the configured capacity, because
     * workers that are set aside or cannot be reached would make every team look below its share.
     */
    function sharesOf(pool: string): ReadonlyMap<string, number> {
        const known = cached.get(pool);
        if (known !== undefined && Date.now() - known.atMs < sharesAgeMs) {
            return known.shares;
        }
        const use = listUse(pool);
        const pot = use.reduce((total, { running }) => total + running, 0);
        const shares = fillShares(use.map((each) => ({ ...each, demand: each.running + each.waiting })), pot);
        cached.set(pool, { atMs: Date.now(), shares });
        return shares;
    }

    interface Candidate {
        readonly team: string;
        readonly isUrgent: boolean;
        /** Part of the pool in use, divided by the weight. */
        readonly level: number;
        readonly oneTask: number;
    }

    function candidate(pool: string, team: string, waiting: WaitingWork["amounts"], urgentTasks: number): Candidate {
        const use = useOf(pool, team);
        const weight = weightOf(team);
        const capacity = opts.pools.find(pool)?.capacity ?? noAmounts;
        const oneTask = dominantShare(waiting, capacity) / Math.max(1, waiting.tasks) / weight;
        const isUrgent = urgentTasks > 0 && use < (sharesOf(pool).get(team) ?? 0);
        return { team, isUrgent, level: use / weight, oneTask };
    }

    function ownCandidates(pool: string, teams: readonly string[]): readonly Candidate[] {
        return teams.flatMap((team) => {
            const waiting = own.get(pool)?.get(team)?.waiting;
            return waiting === undefined ? [] : [candidate(pool, team, waiting.amounts, waiting.urgentTasks)];
        });
    }

    function peerCandidates(pool: string): readonly Candidate[] {
        const rows = table.totals(pool) ?? new Map<string, ShareRow>();
        return [...rows].flatMap(([team, { waiting, urgentTasks }]) =>
            waiting.tasks < 1 ? [] : [candidate(pool, team, waiting, urgentTasks)]
        );
    }

    function nextTurn(pool: string, ownTeams: readonly string[], withPeers: boolean): Turn {
        const mine = ownCandidates(pool, ownTeams).reduce(first, undefined);
        const theirs = withPeers ? peerCandidates(pool).reduce(first, undefined) : undefined;
        const peer = theirs === undefined ? undefined : table.findLongestWaiting(pool, theirs.team);
        if (theirs === undefined || peer === undefined) {
            return mine === undefined ? { kind: "nobody" } : { kind: "own", team: mine.team };
        }
        const other = { kind: "peer", team: theirs.team, boot: peer.boot } as const;
        if (mine === undefined) {
            return other;
        }
        if (mine.team === theirs.team) {
            const ownOldestAtMs = own.get(pool)?.get(mine.team)?.waiting?.oldestAtMs ?? 0;
            return peer.row.oldestAtMs < ownOldestAtMs - olderByMs ? other : { kind: "own", team: mine.team };
        }
        const isBehind = theirs.isUrgent === mine.isUrgent
            ? theirs.level + theirs.oneTask < mine.level
            : theirs.isUrgent;
        return isBehind ? other : { kind: "own", team: mine.team };
    }

    return {
        addRunning: (pool, team, size) => addSize(ownRow(pool, team).running, size, 1),
        removeRunning: (pool, team, size) => addSize(ownRow(pool, team).running, size, -1),
        setWaiting(pool, team, waiting) {
            const row = ownRow(pool, team);
            const isFirst = waiting !== undefined && row.waiting === undefined && !isContended(pool);
            row.waiting = waiting;
            if (isFirst) {
                reports.hurry();
            }
        },
        nextTurn,
        noteOffer: (pool, team, boot) => table.moveOne(boot, pool, team),
        contendedPools: () => [...new Set([...[...own.keys()].filter(hasWaiting), ...table.waitingPools()])],
        findReclaims: (pool) => findReclaims(listUse(pool), sharesOf(pool), Date.now(), random),
        isAtShare: (pool, team) => useOf(pool, team) >= (sharesOf(pool).get(team) ?? 0),
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start: () => reports.start(),
        stop: () => reports.stop(),
    };

    function first(best: Candidate | undefined, next: Candidate): Candidate {
        if (best === undefined || best.isUrgent !== next.isUrgent) {
            return best?.isUrgent === true ? best : next;
        }
        return next.level < best.level ? next : best;
    }
}

function sum(a: MutableAmounts | WaitingWork["amounts"] | undefined, b: MutableAmounts | undefined): MutableAmounts {
    const total = createAmounts();
    addAmounts(total, a ?? noAmounts, 1);
    addAmounts(total, b ?? noAmounts, 1);
    return total;
}
