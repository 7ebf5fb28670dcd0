import type { Shares, SharesOptions, WaitingWork } from "../../src/shares";

/** Shares that look at this entry alone, in the place of the product's. */
function createLocalShares(choose: (pool: string, waiting: ReadonlyMap<string, WaitingWork>) => string): Shares {
    const waiting = new Map<string, Map<string, WaitingWork>>();
    return {
        addRunning() {},
        recordFirstTurn() {},
        removeRunning() {},
        setWaiting(pool, team, work) {
            const teams = waiting.get(pool) ?? new Map<string, WaitingWork>();
            waiting.set(pool, teams);
            if (work === undefined) {
                teams.delete(team);
            }
            else {
                teams.set(team, work);
            }
        },
        nextTurn(pool, ownTeams) {
            const all = waiting.get(pool) ?? new Map<string, WaitingWork>();
            const ready = new Map([...all].filter(([team]) => ownTeams.includes(team)));
            return ready.size === 0 ? { kind: "nobody" } : { kind: "own", team: choose(pool, ready) };
        },
        recordOffer() {},
        contendedPools: () => [...waiting].filter(([, teams]) => teams.size > 0).map(([pool]) => pool),
        findReclaims: () => [],
        hasReachedShare: () => false,
        onChange: () => () => {},
        start() {},
        stop() {},
    };
}

/** First come, first served at each entry. */
export function createArrivalOrder(_opts: SharesOptions): Shares {
    return createLocalShares((_pool, waiting) =>
        [...waiting].reduce((a, b) => b[1].oldestAtMs < a[1].oldestAtMs ? b : a)[0]
    );
}

/** One task of each waiting team in turn at each entry, whatever its weight. */
export function createRoundRobin(_opts: SharesOptions): Shares {
    const last = new Map<string, string>();
    return createLocalShares((pool, waiting) => {
        const teams = [...waiting.keys()].sort();
        const team = teams.find((name) => name > (last.get(pool) ?? "")) ?? teams[0]!;
        last.set(pool, team);
        return team;
    });
}
