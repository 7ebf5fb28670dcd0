import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createLimitsWorld, type LimitsDefect, type LimitsWorld, type WorldEntry } from "./limitsWorld";

export interface ScheduleResult {
    readonly seed: number;
    /** What the judge saw; empty where the promise held. */
    readonly broken: readonly string[];
    readonly starts: number;
    readonly faults: number;
}

const zones = ["zone-a", "zone-b", "zone-c"];
const teams = ["stables", "vets"];
const stepMs = 250;
const steps = 80;
const maxEntries = 5;
const healMs = 24_000;

/** One random schedule of work and faults over three to five entries, then a calm in which all room must come back. */
export async function runLimitsSchedule(seed: number, defect?: LimitsDefect): Promise<ScheduleResult> {
    const world = createLimitsWorld(defect === undefined ? {} : { defect });
    const random = xoroshiro128plus(seed);
    const pick = (most: number) => uniformInt(random, 0, most - 1);
    const counts = { faults: 0, tasks: 0 };
    try {
        zones.forEach((zone) => world.startEntry(zone));
        teams.forEach((team) => setRandomLimit(world, team, pick));
        await world.clock.tickAsync(1000);
        for (let step = 0; step < steps; step++) {
            submitSome(world, pick, counts);
            if (pick(3) === 0) {
                counts.faults++;
                breakSomething(world, pick);
            }
            if (pick(4) === 0) {
                void world.checkInForce();
            }
            await world.clock.tickAsync(stepMs);
        }
        const leftovers = await checkRecovery(world);
        return {
            seed,
            broken: [...world.judge.broken, ...leftovers],
            starts: world.workers.starts.length,
            faults: counts.faults,
        };
    }
    finally {
        world.close();
    }
}

function setRandomLimit(world: LimitsWorld, team: string, pick: (most: number) => number): void {
    const tasks = [1, 2, 5, 12, 30][pick(5)] ?? 1;
    world.setTeam(team, {
        tasks,
        processors: tasks * (1 + pick(3)) / 2 + 1,
        memoryMb: tasks * 100 * (1 + pick(2)) + 300,
        accelerators: pick(2) * tasks,
    });
}

function submitSome(world: LimitsWorld, pick: (most: number) => number, counts: { tasks: number; }): void {
    const entry = world.entries[pick(world.entries.length)];
    if (entry === undefined || entry.process.isKilled() || entry.isStopped) {
        return;
    }
    for (let left = pick(12); left > 0; left--) {
        entry.submit({
            id: `task-${++counts.tasks}`,
            team: teams[pick(teams.length)] ?? "",
            size: {
                processors: [0.1, 0.29, 1, 1.5][pick(4)] ?? 1,
                memoryMb: 50 + 50 * pick(4),
                accelerators: pick(4) === 0 ? 1 : 0,
            },
            runMs: 50 + pick(pick(4) === 0 ? 20_000 : 3000),
        });
    }
}

function breakSomething(world: LimitsWorld, pick: (most: number) => number): void {
    const living = world.living();
    const chosen = living[pick(Math.max(1, living.length))];
    switch (pick(18)) {
        case 0:
            return living.length > 1 && chosen !== undefined ? killAndReplace(world, chosen, pick) : undefined;
        case 1:
            return living.length > 1 && chosen !== undefined ? world.freeze(chosen) : undefined;
        case 2:
            return world.entries.filter(({ process }) => process.isFrozen() && !process.isKilled()).forEach(world.wake);
        case 3:
            return world.cutZone(zones[pick(zones.length)] ?? "");
        case 4:
            return world.healZones();
        case 5:
            world.platform.isDown = !world.platform.isDown;
            return;
        case 6:
        case 7:
            world.platform.lostWriteAnswers += 1 + pick(3);
            return;
        case 8:
            return setRandomLimit(world, teams[pick(teams.length)] ?? "", pick);
        case 9:
            return chosen === undefined ? undefined : void (chosen.isStale = !chosen.isStale);
        case 10:
            return living.forEach((entry) => entry.cancelAll());
        case 11:
            return world.removeTeam(teams[pick(teams.length)] ?? "");
        case 12:
            return living.length > 1 && chosen !== undefined ? void world.stop(chosen) : undefined;
        case 13:
            return cutWorker(world, chosen);
        case 15:
            world.platform.lostWrites += 1 + pick(2);
            return;
        case 16:
            world.platform.lateWrites += 1 + pick(2);
            return;
        case 17:
            return chosen === undefined ? undefined : void world.platform.cutOff.add(chosen.peer.boot);
        case 14:
            return world.cutLinks(zones[pick(zones.length)] ?? "");
    }
}

function killAndReplace(world: LimitsWorld, entry: WorldEntry, pick: (most: number) => number): void {
    world.kill(entry);
    if (pick(2) === 0 && world.entries.filter(({ process }) => !process.isKilled()).length < maxEntries) {
        world.startEntry(entry.peer.zone, entry.peer.instance);
    }
}

/** The entry's tasks go on at the worker while the entry hears nothing of them. */
function cutWorker(world: LimitsWorld, entry: WorldEntry | undefined): void {
    if (entry !== undefined) {
        const cut = `${entry.peer.boot}>worker-1`;
        if (!world.workers.cuts.delete(cut)) {
            world.workers.cuts.add(cut);
        }
    }
}

/** After all faults have ended and all leases have run out, one entry must be able to use the whole limit. */
async function checkRecovery(world: LimitsWorld): Promise<readonly string[]> {
    world.platform.isDown = false;
    world.platform.lostWriteAnswers = 0;
    world.platform.lostWrites = 0;
    world.platform.lateWrites = 0;
    world.workers.cuts.clear();
    world.entries.filter(({ process }) => process.isFrozen()).forEach(world.wake);
    world.entries.forEach((entry) => void (entry.isStale = false));
    world.entries.forEach(({ queue }) => void (queue.length = 0));
    if (world.living().length === 0) {
        world.startEntry("zone-a");
    }
    const limit = { tasks: 7, processors: 7, memoryMb: 700, accelerators: 7 };
    teams.forEach((team) => world.setTeam(team, limit));
    world.healZones();
    await world.clock.tickAsync(healMs);
    const entry = world.living()[0];
    for (let at = 0; at < limit.tasks; at++) {
        const size = { processors: 1, memoryMb: 100, accelerators: 1 };
        teams.forEach((team) => entry?.submit({ id: `last-${team}-${at}`, team, size, runMs: 60_000 }));
    }
    await world.clock.tickAsync(5000);
    return teams.flatMap((team) => {
        const { tasks } = world.judge.runningOf(team);
        return tasks === limit.tasks ? [] : [`after the faults team ${team} can run ${tasks} of ${limit.tasks} tasks`];
    });
}
