import type { Configuration } from "../configuration";
import type { Peers } from "../peers";
import type { PoolIndex } from "../pools";
import { addAmounts, addSize, createAmounts, dominantShare, type MutableAmounts } from "./amounts";
import { computeMaxMinShares } from "./computeMaxMinShares";
import { createReports } from "./createReports";
import { createShareTable } from "./createShareTable";
import { createUrgentAllowance, type UrgentAllowance } from "./createUrgentAllowance";
import { findReclaims } from "./findReclaims";
import { findUnderservedEntry, type TaskCountsByTeam } from "./findUnderservedEntry";
import type { ReportRow } from "./messages";
import type { Offers, Shares, Turn, WaitingWork } from "./shares";
import type { TeamUsage } from "./teamUsage";

export interface SharesOptions {
    readonly configuration: Pick<Configuration, "state" | "onChange">;
    readonly peers: Peers;
    readonly pools: PoolIndex;
    /** Interval of reports to other entries. */
    readonly reportMs: number;
    /** Returns a number from 0 up to 1. Tests pass a seeded one. */
    readonly random?: () => number;
}

interface OwnRow {
    readonly running: MutableAmounts;
    readonly urgentAllowance: UrgentAllowance;
    waiting?: WaitingWork | undefined;
}

/** A team's share and demand, by dominant resource. */
interface Share {
    readonly amount: number;
    readonly demand: number;
    readonly isSatisfied: boolean;
}

/** A team below its share that has waited this long at another entry may be offered a slot. */
const offerAfterMs = 300;
const satisfiedTolerance = 1e-6;
/**
 * At each report, this part of the current error is added to the correction, and this part of the old correction is
 * kept.
 */
const biasGain = 0.15;
const biasRetention = 0.9;
/** Computed shares are reused for this long. */
const maxSharesAgeMs = 100;
const zeroAmounts = createAmounts();
const zeroShare: Share = { amount: 0, demand: 0, isSatisfied: true };

/** Divides each pool by weighted max-min fairness, from the other entries' reports and this entry's own counts. */
export function createShares(opts: SharesOptions): Shares {
    const own = new Map<string, Map<string, OwnRow>>();
    const table = createShareTable();
    const listeners = new Set<(pool: string) => void>();
    const cachedShares = new Map<string, { readonly atMs: number; readonly shares: ReadonlyMap<string, Share>; }>();
    const random = opts.random ?? Math.random;
    /** Pools in which this entry's last report showed waiting tasks. */
    const poolsReportedWaiting = new Set<string>();
    const contended = new Set<string>();
    const biases = new Map<string, Map<string, number>>();
    let timer: NodeJS.Timeout | undefined;
    const reports = createReports({
        peers: opts.peers,
        table,
        reportMs: opts.reportMs,
        ownRows,
        reportedPools: () => [...own.keys()].filter((pool) => isContended(pool) || poolsReportedWaiting.has(pool)),
        onReported: onTold,
        onPeerChange,
    });

    function ownRow(pool: string, team: string): OwnRow {
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        own.set(pool, teams);
        const row = teams.get(team) ?? { running: createAmounts(), urgentAllowance: createUrgentAllowance() };
        teams.set(team, row);
        return row;
    }

    function ownRows(pool: string): readonly ReportRow[] {
        const nowMs = Date.now();
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        const rows = [...teams].map(([team, row]): ReportRow => {
            const { running, waiting } = row;
            const w = waiting?.amounts ?? zeroAmounts;
            const ageMs = waiting === undefined ? 0 : Math.max(0, nowMs - waiting.oldestAtMs);
            const { tasks, processors, memoryMb, accelerators } = running;
            const run = [tasks, processors, memoryMb, accelerators] as const;
            const wait = [w.tasks, w.processors, w.memoryMb, w.accelerators] as const;
            return [team, ...run, ...wait, urgentTasksOf(row), ageMs];
        });
        return rows;
    }

    /** Returns the number of urgent tasks that may start ahead of their team's turn. */
    function urgentTasksOf({ waiting, urgentAllowance: urgentRight }: OwnRow): number {
        const tasks = waiting?.urgentTasks ?? 0;
        return tasks > 0 && urgentRight.isAllowed() ? tasks : 0;
    }

    /** Removes teams whose row of zeros has been reported. */
    function onTold(pool: string): void {
        const teams = own.get(pool) ?? new Map<string, OwnRow>();
        poolsReportedWaiting.delete(pool);
        for (const [team, { running, waiting }] of teams) {
            if (waiting !== undefined) {
                poolsReportedWaiting.add(pool);
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
        cachedShares.delete(pool);
        updateContention(pool);
        listeners.forEach((listener) => listener(pool));
    }

    /**
     * Once tasks start to wait in a pool, every entry reports what it runs there. It does not report that of
     * uncontended pools.
     */
    function updateContention(pool: string): void {
        if (!isContended(pool)) {
            contended.delete(pool);
        }
        else if (!contended.has(pool)) {
            contended.add(pool);
            reports.sendSoon(pool);
        }
    }

    function weightOf(team: string): number {
        return opts.configuration.state()?.teams[team]?.weight ?? 1;
    }

    function usageOf(pool: string, team: string): number {
        const capacity = opts.pools.find(pool)?.capacity ?? zeroAmounts;
        const sum = createAmounts();
        addAmounts(sum, own.get(pool)?.get(team)?.running ?? zeroAmounts, 1);
        addAmounts(sum, table.totals(pool)?.get(team)?.running ?? zeroAmounts, 1);
        return dominantShare(sum, capacity);
    }

    /** Returns the usage and demand in the whole fleet of every team with running or waiting tasks in the pool. */
    function listUsage(pool: string): readonly TeamUsage[] {
        const capacity = opts.pools.find(pool)?.capacity ?? zeroAmounts;
        const teams = new Set([...own.get(pool)?.keys() ?? [], ...table.totals(pool)?.keys() ?? []]);
        return [...teams].map((team) => {
            const [ownUsage, others] = [own.get(pool)?.get(team), table.totals(pool)?.get(team)];
            const running = sum(ownUsage?.running, others?.running);
            const waiting = sum(ownUsage?.waiting?.amounts, others?.waiting);
            const oldest = table.findLongestWaiting(pool, team)?.row.oldestAtMs ?? Infinity;
            return {
                team,
                weight: weightOf(team),
                running: dominantShare(running, capacity),
                runningTasks: running.tasks,
                runningHere: ownUsage?.running.tasks ?? 0,
                waiting: dominantShare(waiting, capacity),
                waitingTasks: waiting.tasks,
                urgentTasks: (ownUsage === undefined ? 0 : urgentTasksOf(ownUsage)) + (others?.urgentTasks ?? 0),
                urgentElsewhere: others?.urgentTasks ?? 0,
                oldestAtMs: Math.min(oldest, ownUsage?.waiting?.oldestAtMs ?? Infinity),
            };
        });
    }

    /**
     * Returns each team's share of what is running now. What runs is divided, not the configured capacity, because
     * ejected or unreachable workers would make every team appear to be below its share.
     */
    function sharesOf(pool: string): ReadonlyMap<string, Share> {
        const known = cachedShares.get(pool);
        if (known !== undefined && Date.now() - known.atMs < maxSharesAgeMs) {
            return known.shares;
        }
        const use = listUsage(pool);
        const totalInUse = use.reduce((total, { running }) => total + running, 0);
        const demands = use.map((each) => ({ ...each, demand: each.running + each.waiting }));
        const amounts = computeMaxMinShares(demands, totalInUse);
        const shares = new Map(demands.map(({ team, demand }): [string, Share] => {
            const amount = amounts.get(team) ?? 0;
            return [team, { amount, demand, isSatisfied: demand <= amount * (1 + satisfiedTolerance) }];
        }));
        cachedShares.set(pool, { atMs: Date.now(), shares });
        return shares;
    }

    /** Returns the part of each team's demand that its share covers. */
    function coveredPartsOf(pool: string): ReadonlyMap<string, number> {
        return new Map(
            [...sharesOf(pool)].map(([team, { amount, demand }]) => [team, demand > 0 ? amount / demand : 0]),
        );
    }

    function amountsOf(pool: string): ReadonlyMap<string, number> {
        return new Map([...sharesOf(pool)].map(([team, { amount }]) => [team, amount]));
    }

    interface Candidate {
        readonly team: string;
        /** True if urgent tasks may go first. The slots that they use count against the team's other tasks. */
        readonly isUrgent: boolean;
        /** True if the team's demand is within its share, so that no other team has a better claim. */
        readonly isSatisfied: boolean;
        /**
         * What this entry runs for the team beyond this entry's part of the team's share, by dominant resource and
         * weight.
         */
        readonly excess: number;
    }

    function ownCandidates(pool: string, teams: readonly string[]): readonly Candidate[] {
        const capacity = opts.pools.find(pool)?.capacity ?? zeroAmounts;
        const shares = sharesOf(pool);
        const rows = own.get(pool) ?? new Map<string, OwnRow>();
        let [ownSum, targetSum] = [0, 0];
        const targets = new Map<string, number>();
        rows.forEach(({ running, waiting }, team) => {
            const { amount, demand } = shares.get(team) ?? zeroShare;
            const inUse = dominantShare(running, capacity);
            const wanted = inUse + dominantShare(waiting?.amounts ?? zeroAmounts, capacity);
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
            const share = shares.get(team) ?? zeroShare;
            const target = targetSum === 0 ? 0 : ownSum * (targets.get(team) ?? 0) / targetSum;
            const running = dominantShare(row.running, capacity);
            const excess = (running + biasOf(pool, team) - target) / weightOf(team);
            return [{ team, isUrgent: urgentTasksOf(row) > 0, isSatisfied: share.isSatisfied, excess }];
        });
    }

    /**
     * Returns the team at another entry that lacks the most tasks to its share. If this entry has waiting tasks of its
     * own, only teams count that have waited for `offerAfterMs` and lack more than one task or have urgent tasks.
     */
    function findPeerTurn(pool: string, hasOwn: boolean): Turn | undefined {
        const shares = sharesOf(pool);
        const capacity = opts.pools.find(pool)?.capacity ?? zeroAmounts;
        let best: { readonly team: string; readonly boot: string; readonly missing: number; } | undefined;
        for (const [team, { waiting, urgentTasks }] of table.totals(pool) ?? []) {
            const longest = waiting.tasks < 1 ? undefined : table.findLongestWaiting(pool, team);
            if (longest === undefined) {
                continue;
            }
            const oneTask = dominantShare(waiting, capacity) / waiting.tasks;
            const missing = ((shares.get(team)?.amount ?? 0) - usageOf(pool, team)) / oneTask;
            const isLate = Date.now() - longest.row.oldestAtMs > offerAfterMs && (missing > 1 || urgentTasks > 0);
            if ((!hasOwn || isLate) && (best === undefined || missing > best.missing)) {
                best = { team, boot: longest.boot, missing };
            }
        }
        return best === undefined ? undefined : { kind: "peer", team: best.team, boot: best.boot };
    }

    function ownTaskCounts(pool: string): TaskCountsByTeam {
        return [...own.get(pool) ?? []].map(([team, { running, waiting }]) =>
            [team, { running, waiting: waiting?.amounts }] as const
        );
    }

    function nextTurn(pool: string, ownTeams: readonly string[], offers: Offers): Turn {
        const ownBest = ownCandidates(pool, ownTeams).reduce(pickBetter, undefined);
        const hasPrecedence = ownBest?.isUrgent === true || ownBest?.isSatisfied === true;
        const mayOfferToPeer = ownBest === undefined || offers === "always"
            || random() < 1 / (opts.peers.connected().length + 1);
        if (offers !== "none" && !hasPrecedence && mayOfferToPeer) {
            const peer = findPeerTurn(pool, ownBest !== undefined);
            if (peer !== undefined) {
                return peer;
            }
        }
        const underserved = offers !== "none" && !hasPrecedence
            ? findUnderservedEntry(ownTaskCounts(pool), table.rowsByBoot(pool), coveredPartsOf(pool), random)
            : undefined;
        if (underserved !== undefined) {
            return underserved;
        }
        return ownBest === undefined ? { kind: "nobody" } : { kind: "own", team: ownBest.team };
    }

    function biasOf(pool: string, team: string): number {
        return biases.get(pool)?.get(team) ?? 0;
    }

    /**
     * Corrects this entry's part of each share by the fleet's excess or deficit at the last reports. Each entry divides
     * its own slots by its own counts, which are always accurate. The fleet's counts are delayed: if all entries
     * followed them fully, slots would oscillate between teams.
     */
    function updateBiases(): void {
        const pools = contendedPools();
        const entries = opts.peers.connected().length + 1;
        [...biases.keys()].filter((pool) => !pools.includes(pool)).forEach((pool) => biases.delete(pool));
        for (const pool of pools) {
            const shares = sharesOf(pool);
            const known = biases.get(pool) ?? new Map<string, number>();
            biases.set(pool, known);
            for (const { team, running } of listUsage(pool)) {
                const excess = (running - (shares.get(team)?.amount ?? 0)) / entries;
                known.set(team, (known.get(team) ?? 0) * biasRetention + excess * biasGain);
            }
        }
    }

    function contendedPools(): readonly string[] {
        return [...new Set([...[...own.keys()].filter(hasWaiting), ...table.waitingPools()])];
    }

    return {
        addRunning: (pool, team, size) => addSize(ownRow(pool, team).running, size, 1),
        recordFirstTurn: (pool, team, isUrgent) => ownRow(pool, team).urgentAllowance.recordStart(isUrgent),
        removeRunning: (pool, team, size) => addSize(ownRow(pool, team).running, size, -1),
        setWaiting(pool, team, waiting) {
            const row = ownRow(pool, team);
            const hasStartedOrStoppedWaiting = (waiting === undefined) !== (row.waiting === undefined);
            row.waiting = waiting;
            if (hasStartedOrStoppedWaiting) {
                updateContention(pool);
            }
        },
        nextTurn,
        recordOffer: (pool, team, boot) => table.assumeStarted(boot, pool, team),
        contendedPools,
        findReclaims: (pool) => findReclaims(listUsage(pool), amountsOf(pool), Date.now(), random),
        hasReachedShare: (pool, team) => usageOf(pool, team) >= (sharesOf(pool).get(team)?.amount ?? 0),
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {
            reports.start();
            timer = setInterval(updateBiases, opts.reportMs);
        },
        stop() {
            reports.stop();
            clearInterval(timer);
        },
    };

    function pickBetter(best: Candidate | undefined, next: Candidate): Candidate {
        if (best === undefined) {
            return next;
        }
        const [bestRank, nextRank] = [rankOf(best), rankOf(next)];
        const isBetter = bestRank === nextRank ? next.excess < best.excess : nextRank < bestRank;
        return isBetter ? next : best;
    }

    function rankOf({ isUrgent, isSatisfied }: Candidate): number {
        return isUrgent ? 0 : isSatisfied ? 1 : 2;
    }
}

function sum(a: MutableAmounts | WaitingWork["amounts"] | undefined, b: MutableAmounts | undefined): MutableAmounts {
    const total = createAmounts();
    addAmounts(total, a ?? zeroAmounts, 1);
    addAmounts(total, b ?? zeroAmounts, 1);
    return total;
}
