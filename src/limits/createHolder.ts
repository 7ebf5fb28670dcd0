import type { TaskSize } from "../workers";
import { createSlices } from "./createSlices";
import type { Hold } from "./limits";
import type { AskMessage, HoldingMessage, SlicesMessage, TeamAsk, TeamReport, VoidMessage } from "./messages";
import { shardCount, shardOf } from "./shards";
import {
    addUnits,
    clampUnits,
    fitsWithin,
    isNoUnits,
    isSameUnits,
    maxUnits,
    minUnits,
    noUnits,
    subtractUnits,
    sumUnits,
    toTaskUnits,
    type Units,
} from "./units";

export interface HolderOptions {
    readonly leaseMs: number;
    /** The team's limit in the configuration that this entry knows. */
    readonly limitOf: (team: string) => Units;
    /** Called when something of the shard should be told to its divider soon. */
    readonly onNews: (shard: number) => void;
    readonly onRoom: (team: string) => void;
}

/** This entry's part: what runs here, what waits here, and what is given up. */
export interface Holder {
    tryTake(team: string, size: TaskSize): Hold | undefined;
    release(hold: Hold): void;
    noteDemand(team: string, size: TaskSize, requestId: string): void;
    dropDemand(team: string, requestId: string): void;
    /** Room that is held here and not in use, for a task forwarded here. */
    roomOf(team: string): Units;
    answerAsk(ask: AskMessage): void;
    adopt(message: SlicesMessage): void;
    /** A divider that cannot write has dropped a release. */
    takeVoid(message: VoidMessage, from: string): void;
    noteSent(shard: number, boot: string): void;
    /** Gives up every slice but what is in use; further room is given up as it comes free. */
    leave(): void;
    describe(shard: number): HoldingMessage;
    /** True while something has to reach the divider: a release, or a task that waits. */
    isUrgent(shard: number): boolean;
    hasPendingRelease(shard: number): boolean;
    isEmpty(): boolean;
    /** Teams for which tasks wait here; notes that were not renewed are forgotten. */
    waitingTeams(): readonly string[];
}

/** How long a note of demand counts, and how long an ask binds, in milliseconds. */
const demandMs = 1000;
const askMs = 1500;

interface TeamState {
    used: Units;
    readonly waiting: Map<string, { readonly units: Units; readonly untilMs: number; }>;
    /** Room that a divider asked for and that was not free then. */
    owed: Units;
    ceiling: Units | undefined;
    askedUntilMs: number;
}

export function createHolder(opts: HolderOptions): Holder {
    const slices = createSlices();
    const teams = new Map<string, TeamState>();
    const holds = new Map<number, Units>();
    let nextId = 1;
    let isLeaving = false;

    function stateOf(team: string): TeamState {
        let state = teams.get(team);
        if (state === undefined) {
            state = { used: noUnits, waiting: new Map(), owed: noUnits, ceiling: undefined, askedUntilMs: 0 };
            teams.set(team, state);
        }
        return state;
    }

    function isAsked({ askedUntilMs }: TeamState): boolean {
        return performance.now() < askedUntilMs;
    }

    function allowanceOf(team: string): Units {
        const state = stateOf(team);
        const cap = minUnits(slices.capOf(team), opts.limitOf(team));
        return state.ceiling !== undefined && isAsked(state) ? minUnits(cap, state.ceiling) : cap;
    }

    function liveWaiting(state: TeamState): readonly Units[] {
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
        const waiting = liveWaiting(state);
        return {
            used: state.used,
            waiting: sumUnits(waiting),
            next: waiting.reduce(maxUnits, noUnits),
            held: slices.capOf(team),
        };
    }

    /** What stays here when a divider asks: everything in use, and idle room beyond what is asked for. */
    function keepOf(team: string): Units {
        const state = stateOf(team);
        const cap = slices.capOf(team);
        const waiting = liveWaiting(state);
        const free = clampUnits(subtractUnits(cap, state.used));
        // Room too small for any task that waits here may complete one elsewhere; kept, it would serve nobody.
        const isUseful = waiting.some((units) => fitsWithin(units, free));
        const needed = addUnits(state.used, isUseful ? sumUnits(waiting) : noUnits);
        const idle = clampUnits(subtractUnits(cap, needed));
        const kept = subtractUnits(cap, minUnits(idle, state.owed));
        return state.ceiling === undefined ? kept : minUnits(kept, maxUnits(state.used, state.ceiling));
    }

    function giveUp(teamNames: readonly string[]): void {
        const keeps = new Map<number, Record<string, Units>>();
        for (const team of teamNames) {
            const cap = slices.capOf(team);
            const keep = minUnits(cap, keepOf(team));
            if (!isSameUnits(keep, cap)) {
                const state = stateOf(team);
                state.owed = clampUnits(subtractUnits(state.owed, subtractUnits(cap, keep)));
                const shard = shardOf(team);
                keeps.set(shard, { ...keeps.get(shard), [team]: keep });
            }
        }
        keeps.forEach((byTeam, shard) => slices.lower(shard, byTeam));
    }

    function noteAsk(team: string, { give, ceiling }: TeamAsk): void {
        const state = stateOf(team);
        state.owed = give;
        state.ceiling = ceiling;
        state.askedUntilMs = performance.now() + askMs;
    }

    /** Asks lapse, so that one whose divider has ended does not bind for ever. */
    function dropLapsedAsk(state: TeamState): void {
        if (!isAsked(state) && !isLeaving) {
            state.owed = noUnits;
            state.ceiling = undefined;
        }
    }

    return {
        tryTake(team, size) {
            const units = toTaskUnits(size);
            const state = stateOf(team);
            if (isLeaving || !fitsWithin(addUnits(state.used, units), allowanceOf(team))) {
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
            dropLapsedAsk(state);
            const before = slices.capOf(hold.team);
            giveUp([hold.team]);
            if (!isSameUnits(before, slices.capOf(hold.team))) {
                opts.onNews(shardOf(hold.team));
            }
            opts.onRoom(hold.team);
        },
        noteDemand(team, size, requestId) {
            const state = stateOf(team);
            const isNew = !state.waiting.has(requestId);
            state.waiting.set(requestId, { units: toTaskUnits(size), untilMs: performance.now() + demandMs });
            if (isNew) {
                opts.onNews(shardOf(team));
            }
        },
        dropDemand: (team, requestId) => void stateOf(team).waiting.delete(requestId),
        roomOf: (team) => clampUnits(subtractUnits(allowanceOf(team), stateOf(team).used)),
        answerAsk({ teams: asked }) {
            Object.entries(asked).forEach(([team, ask]) => noteAsk(team, ask));
            giveUp(Object.keys(asked));
        },
        adopt(message) {
            const grown = slices.adopt(message);
            if (isLeaving) {
                giveUp(Object.keys(message.slices));
            }
            grown.forEach((team) => {
                stateOf(team).ceiling = isLeaving ? noUnits : undefined;
                opts.onRoom(team);
            });
        },
        takeVoid({ shard, number }, from) {
            if (slices.noteVoid(shard, number, from)) {
                slices.teamsOf(shard).forEach((team) => opts.onRoom(team));
            }
        },
        noteSent: slices.noteSent,
        leave() {
            isLeaving = true;
            const held = [...new Set([...Array.from(teams.keys()), ...allShardTeams(slices)])];
            held.forEach((team) => {
                stateOf(team).ceiling = noUnits;
                stateOf(team).waiting.clear();
            });
            giveUp(held);
        },
        describe(shard) {
            const names = new Set([...slices.teamsOf(shard), ...teams.keys()]);
            const reports = [...names].filter((team) => shardOf(team) === shard)
                .map((team) => [team, reportOf(team)] as const)
                .filter(([team, { used, waiting }]) =>
                    !isNoUnits(used) || !isNoUnits(waiting) || isAsked(stateOf(team))
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
                || [...teams].some(([team, state]) => shardOf(team) === shard && liveWaiting(state).length > 0);
        },
        hasPendingRelease: (shard) => slices.pendingRelease(shard) !== undefined,
        isEmpty: () => [...allShardTeams(slices)].length === 0,
        waitingTeams() {
            teams.forEach((state, team) => {
                dropLapsedAsk(state);
                if (isNoUnits(state.used) && liveWaiting(state).length === 0 && !isAsked(state) && !isLeaving) {
                    teams.delete(team);
                }
            });
            return [...teams].flatMap(([team, state]) => state.waiting.size > 0 ? [team] : []);
        },
    };
}

function allShardTeams(slices: ReturnType<typeof createSlices>): readonly string[] {
    return Array.from({ length: shardCount }, (_, shard) => slices.teamsOf(shard)).flat();
}
