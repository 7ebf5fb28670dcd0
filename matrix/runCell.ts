import { act } from "./act";
import { createWorld, type World } from "./createWorld";
import type { Defect } from "./defects";
import type { Fault } from "./faults";
import { createJudge, type Violation } from "./judge";
import type { Row } from "./rows";
import { seedRandomness } from "./seedRandomness";
import { startLoad } from "./startLoad";

/** One fault at one step; `occurrence` is the time the step is reached at which it strikes, 1 for the first. */
export interface Strike {
    readonly row: Row;
    readonly fault: Fault;
    readonly occurrence: number;
}

export interface CellResult {
    /** Strikes whose step was reached. */
    readonly struck: number;
    readonly violations: readonly Violation[];
    readonly calls: number;
    readonly answered: number;
    readonly starts: number;
}

const loadMs = 20_000;
const actAfterMs = 2000;
const settleMs = 60_000;
const stepMs = 500;

/** Runs the fleet with work and the rows' activities, strikes, heals, lets it settle, and judges. */
export async function runCell(strikes: readonly Strike[], seed: number, defect?: Defect): Promise<CellResult> {
    const randomness = seedRandomness(seed);
    const world = await createWorld(defect);
    try {
        return await runIn(world, strikes, seed);
    }
    finally {
        world.hosts.uninstall();
        randomness.restore();
    }
}

async function runIn(world: World, strikes: readonly Strike[], seed: number): Promise<CellResult> {
    const judge = createJudge(world);
    let struck = 0;
    for (const { row, fault, occurrence } of strikes) {
        let reached = 0;
        world.onStep((event) => {
            const entry = world.entries.find(({ boot }) => boot === event.boot);
            if (entry === undefined || !row.isReached(event) || ++reached !== occurrence) {
                return;
            }
            struck++;
            const { undo } = fault.strike(world, entry, judge);
            setTimeout(undo, fault.durationMs);
            if (fault.hidesList === true) {
                judge.noteListHidden(Date.now() + fault.durationMs);
            }
        });
    }
    startLoad(world, judge, seed, loadMs);
    await world.pass(actAfterMs);
    const activities = [...new Set(strikes.map(({ row }) => row.activity))];
    activities.forEach((activity) => void act(world, judge, activity));
    for (let passedMs = 0; passedMs < loadMs + settleMs; passedMs += stepMs) {
        await world.pass(stepMs);
        judge.look();
    }
    judge.judgeFinally();
    return {
        struck,
        violations: judge.violations,
        calls: judge.calls.length,
        answered: judge.calls.filter(({ end }) => end?.kind === "answered").length,
        starts: world.workers.starts.length,
    };
}
