import type { TaskSize } from "../workers";
import { createSlices } from "./createSlices";
import type { Hold } from "./limits";
import type { AskMessage, HoldingMessage, SlicesMessage, TeamAsk, TeamReport, VoidMessage } from "./messages";
import { shardCount, shardOf } from "./shards";
import {
    addUnits,
    areEqualUnits,
    clampUnits,
    fitsWithin,
    isZeroUnits,
    maxUnits,
    minUnits,
    subtractUnits,
    sumUnits,
    toTaskUnits,
    type Units,
    zeroUnits,
} from "./units";

export interface LocalHolderOptions {
    /** Longest lease of this entry's tasks. */
    readonly leaseMs: number;
    /** The team's limit in the configuration that this entry knows. */
    readonly limitOf: (team: string) => Units;
    /** Called when the shard's allocator should get a report soon. */
    readonly onReportNeeded: (shard: number) => void;
    readonly onCapacityAvailable: (team: string) => void;
}

/** This entry's own slices: tracks which tasks use them, which demand waits, and what is released. */
export interface LocalHolder {
    tryAcquire(team: string, size: TaskSize): Hold | undefined;
    release(hold: Hold): void;
    recordDemand(team: string, size: TaskSize, requestId: string): void;
    dropDemand(team: string, requestId: string): void;
    /** Returns the unused capacity of this entry's slice. Checked before a task that was forwarded here is run. */
    freeCapacityOf(team: string): Units;
    handleAsk(ask: AskMessage): void;
    applySlices(message: SlicesMessage): void;
    /** Handles an allocator's promise never to write a release. */
    handleVoid(message: VoidMessage, from: string): void;
    recordSent(shard: number, boot: string): void;
    /** Releases every slice except what is in use. The rest is released as tasks end. */
    leave(): void;
    createReport(shard: number): HoldingMessage;
    /** True while the allocator has to learn of a release or of a waiting task. */
    isUrgent(shard: number): boolean;
    hasPendingRelease(shard: number): boolean;
    isEmpty(): boolean;
    /** Returns the teams with waiting tasks. Drops demand records that have expired. */
    waitingTeams(): readonly string[];
    view(team: string): HolderView;
}

/** What a holder knows of one team, for the log. */
export interface HolderView {
    /** Tasks that wait for the limit, run, and may run here. */
    readonly waitingTasks: number;
    readonly usedTasks: number;
    readonly usableTasks: number;
    /** Ledger revision of the slices. */
    readonly slicesRevision: number;
    /** Number of the release that the ledger is not known to include yet; 0 if there is none. */
    readonly pendingRelease: number;
}

const demandTtlMs = 1000;
const askTtlMs = 1500;

interface TeamState {
    used: Units;
    readonly waiting: Map<string, { readonly units: Units; readonly untilMs: number; }>;
    /** Amount that an allocator has asked for and that was not free then. */
    owed: Units;
    ceiling: Units | undefined;
    askedUntilMs: number;
}

export function createLocalHolder(opts: LocalHolderOptions): LocalHolder {
    const slices = createSlices();
    const teams = new Map<string, TeamState>();
    const holds = new Map<number, Units>();
    let nextId = 1;
    let isLeaving = false;

    function stateOf(team: string): TeamState {
        let state = teams.get(team);
        if (state === undefined) {
            state = { used: zeroUnits, waiting: new Map(), owed: zeroUnits, ceiling: undefined, askedUntilMs: 0 };
            teams.set(team, state);
        }
        return state;
    }

    function isAsked({ askedUntilMs }: TeamState): boolean {
        return performance.now() < askedUntilMs;
    }

    function usableAmountOf(team: string): Units {
        const state = stateOf(team);
        const cap = minUnits(slices.capOf(team), opts.limitOf(team));
        return state.ceiling !== undefined && isAsked(state) ? minUnits(cap, state.ceiling) : cap;
    }

    function unexpiredWaiting(state: TeamState): readonly Units[] {
        const now = performance.now();
        for (const [id, { untilMs }] of state.waiting) {
            if (untilMs <= now) {
                state.waiting.delete(id);
            }
        }
        return [...state.waiting.values()].map(({ units }) => units);
    }

    function reportOf(team: string): TeamReport {
        const state = stateOf(team);
        const waiting = unexpiredWaiting(state);
        return {
            used: state.used,
            waiting: sumUnits(waiting),
            next: waiting.reduce(maxUnits, zeroUnits),
            held: slices.capOf(team),
        };
    }

    /** Returns what stays here after an ask: everything in use, and idle capacity beyond the amount asked for. */
    function amountToKeep(team: string): Units {
        const state = stateOf(team);
        const cap = slices.capOf(team);
        const waiting = unexpiredWaiting(state);
        const free = clampUnits(subtractUnits(cap, state.used));
        // Capacity too small for every task that waits here may complete the capacity for a task elsewhere.
        // Kept here, it would stay unused.
        const isUseful = waiting.some((units) => fitsWithin(units, free));
        const needed = addUnits(state.used, isUseful ? sumUnits(waiting) : zeroUnits);
        const idle = clampUnits(subtractUnits(cap, needed));
        const kept = subtractUnits(cap, minUnits(idle, state.owed));
        return state.ceiling === undefined ? kept : minUnits(kept, maxUnits(state.used, state.ceiling));
    }

    function giveUpExcess(teamNames: readonly string[]): void {
        const keeps = new Map<number, Record<string, Units>>();
        for (const team of teamNames) {
            const cap = slices.capOf(team);
            const keep = minUnits(cap, amountToKeep(team));
            if (!areEqualUnits(keep, cap)) {
                const state = stateOf(team);
                state.owed = clampUnits(subtractUnits(state.owed, subtractUnits(cap, keep)));
                const shard = shardOf(team);
                keeps.set(shard, { ...keeps.get(shard), [team]: keep });
            }
        }
        keeps.forEach((byTeam, shard) => slices.lower(shard, byTeam));
    }

    function recordAsk(team: string, { give, ceiling }: TeamAsk): void {
        const state = stateOf(team);
        state.owed = give;
        state.ceiling = ceiling;
        state.askedUntilMs = performance.now() + askTtlMs;
    }

    /** Asks expire, so that an ask of an ended allocator does not stay in effect forever. */
    function dropExpiredAsk(state: TeamState): void {
        if (!isAsked(state) && !isLeaving) {
            state.owed = zeroUnits;
            state.ceiling = undefined;
        }
    }

    return {
        tryAcquire(team, size) {
            const units = toTaskUnits(size);
            const state = stateOf(team);
            if (isLeaving || !fitsWithin(addUnits(state.used, units), usableAmountOf(team))) {
                return undefined;
            }
            const hold = { id: nextId++, team, size };
            holds.set(hold.id, units);
            state.used = addUnits(state.used, units);
            return hold;
        },
        release(hold) {
            const units = holds.get(hold.id);
            if (units === undefined) {
                return;
            }
            holds.delete(hold.id);
            const state = stateOf(hold.team);
            state.used = subtractUnits(state.used, units);
            dropExpiredAsk(state);
            const before = slices.capOf(hold.team);
            giveUpExcess([hold.team]);
            if (!areEqualUnits(before, slices.capOf(hold.team))) {
                opts.onReportNeeded(shardOf(hold.team));
            }
            opts.onCapacityAvailable(hold.team);
        },
        recordDemand(team, size, requestId) {
            const state = stateOf(team);
            const isNew = !state.waiting.has(requestId);
            state.waiting.set(requestId, { units: toTaskUnits(size), untilMs: performance.now() + demandTtlMs });
            if (isNew) {
                opts.onReportNeeded(shardOf(team));
            }
        },
        dropDemand: (team, requestId) => void stateOf(team).waiting.delete(requestId),
        freeCapacityOf: (team) => clampUnits(subtractUnits(usableAmountOf(team), stateOf(team).used)),
        handleAsk({ teams: asked }) {
            Object.entries(asked).forEach(([team, ask]) => recordAsk(team, ask));
            giveUpExcess(Object.keys(asked));
        },
        applySlices(message) {
            const grown = slices.applySlices(message);
            if (isLeaving) {
                giveUpExcess(Object.keys(message.slices));
            }
            grown.forEach((team) => {
                stateOf(team).ceiling = isLeaving ? zeroUnits : undefined;
                opts.onCapacityAvailable(team);
            });
        },
        handleVoid({ shard, number }, from) {
            if (slices.recordVoid(shard, number, from)) {
                slices.teamsOf(shard).forEach((team) => opts.onCapacityAvailable(team));
            }
        },
        recordSent: slices.recordSent,
        leave() {
            isLeaving = true;
            const held = [...new Set([...Array.from(teams.keys()), ...allShardTeams(slices)])];
            held.forEach((team) => {
                stateOf(team).ceiling = zeroUnits;
                stateOf(team).waiting.clear();
            });
            giveUpExcess(held);
        },
        createReport(shard) {
            const names = new Set([...slices.teamsOf(shard), ...teams.keys()]);
            const reports = [...names].filter((team) => shardOf(team) === shard)
                .map((team) => [team, reportOf(team)] as const)
                .filter(([team, { used, waiting }]) =>
                    !isZeroUnits(used) || !isZeroUnits(waiting) || isAsked(stateOf(team))
                );
            const release = slices.pendingRelease(shard);
            return {
                shard,
                revision: slices.revisionOf(shard),
                leaseMs: opts.leaseMs,
                isLeaving,
                reports: Object.fromEntries(reports),
                ...release === undefined ? {} : { release },
            };
        },
        isUrgent(shard) {
            return slices.pendingRelease(shard) !== undefined
                || [...teams].some(([team, state]) => shardOf(team) === shard && unexpiredWaiting(state).length > 0);
        },
        hasPendingRelease: (shard) => slices.pendingRelease(shard) !== undefined,
        isEmpty: () => [...allShardTeams(slices)].length === 0,
        waitingTeams() {
            teams.forEach((state, team) => {
                dropExpiredAsk(state);
                if (isZeroUnits(state.used) && unexpiredWaiting(state).length === 0 && !isAsked(state) && !isLeaving) {
                    teams.delete(team);
                }
            });
            return [...teams].flatMap(([team, state]) => state.waiting.size > 0 ? [team] : []);
        },
        view(team) {
            const shard = shardOf(team);
            const state = teams.get(team);
            return {
                waitingTasks: state === undefined ? 0 : unexpiredWaiting(state).length,
                usedTasks: state?.used.tasks ?? 0,
                usableTasks: usableAmountOf(team).tasks,
                slicesRevision: slices.revisionOf(shard),
                pendingRelease: slices.pendingRelease(shard)?.number ?? 0,
            };
        },
    };
}

function allShardTeams(slices: ReturnType<typeof createSlices>): readonly string[] {
    return Array.from({ length: shardCount }, (_, shard) => slices.teamsOf(shard)).flat();
}
