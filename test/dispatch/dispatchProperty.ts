import { createDispatchWorld, type DispatchWorld, installClock, tasksPerWorker } from "../../standins/dispatch";
import type { FakeWorker } from "../../standins/fakes";
import { createRandom, type Random } from "../../standins/random";
import { createJudge } from "./judge";

export interface PropertyOutcome {
    readonly broken: readonly string[];
    readonly tasks: number;
    readonly answered: number;
}

const entryZones = ["zone-a", "zone-a", "zone-b"];
const teams = [
    { name: "stables", weight: 1, limit: 3 },
    { name: "farriers", weight: 2, limit: 50 },
];
const faultyMs = 2500;
const quietMs = 25_000;
const stepMs = 50;

/** Random work under random faults for some seconds, then quiet until all must have ended; gives what was broken. */
export async function runDispatchProperty(seed: number): Promise<PropertyOutcome> {
    const clock = installClock();
    try {
        return await runSchedule(seed, (ms) => clock.advance(ms));
    }
    finally {
        clock.uninstall();
    }
}

async function runSchedule(seed: number, advance: (ms: number) => Promise<void>): Promise<PropertyOutcome> {
    const random = createRandom(seed);
    const world = createDispatchWorld({
        entryZones,
        pools: { stalls: { "zone-a": 2, "zone-b": 1 } },
        slots: 3,
        teams,
        random: () => random.int(0, 999_999) / 1_000_000,
        bounds: { tasksPerTeam: 12, tasks: 20 },
    });
    const judge = createJudge(world, (team) => teams.find(({ name }) => name === team)?.limit ?? 0);
    let [tasks, ended, answered] = [0, 0, 0];

    function sendOne(): void {
        const entry = random.pick(world.entries);
        const payload = `run ${random.chance(10) ? random.int(1000, 5000) : random.int(1, 400)} #${tasks++}`;
        const team = random.pick(teams).name;
        const record = { payload, team, repeatable: random.chance(50), ends: [] };
        judge.add(record);
        const controller = new AbortController();
        if (random.chance(15)) {
            setTimeout(() => controller.abort(), random.int(0, 600));
        }
        const task = {
            payload,
            team,
            repeatable: record.repeatable,
            urgent: random.chance(10),
            expectedRunMs: random.int(1, 400),
            deadlineAtMs: Date.now() + random.int(10, 3000),
        };
        void entry.run(task, controller.signal).then((end) => {
            (record.ends as unknown[]).push(end);
            ended++;
            answered += end.kind === "answered" ? 1 : 0;
        });
    }

    for (let atMs = 0; atMs < faultyMs; atMs += stepMs) {
        for (let count = random.int(0, 3); count > 0; count--) {
            sendOne();
        }
        if (random.chance(20)) {
            breakSomething(world, random);
        }
        await advance(stepMs);
    }
    mendAll(world);
    for (let atMs = 0; atMs < quietMs && !isQuiet(world, ended, tasks); atMs += stepMs) {
        await advance(stepMs);
    }
    const broken = judge.finish(tasksPerWorker);
    await stopAll(world, advance);
    return { broken, tasks, answered };
}

function isQuiet(world: DispatchWorld, ended: number, tasks: number): boolean {
    return ended === tasks && world.entries.every(({ dispatch }) => dispatch.runningCount() === 0);
}

function breakSomething(world: DispatchWorld, random: Random): void {
    const worker = random.pick([...world.workers.workers.values()]);
    const entry = random.pick(world.entries);
    const pair = `${entry.boot}>${worker.instance}`;
    switch (random.int(0, 12)) {
        case 0:
            worker.failsAll = !worker.failsAll;
            return;
        case 1:
            worker.truncatesAnswers = !worker.truncatesAnswers;
            return;
        case 2:
            worker.answerDelayMs = worker.answerDelayMs > 0 ? 0 : random.int(1, 3000);
            return;
        case 3:
            worker.isDead = !worker.isDead;
            return;
        case 4:
        case 5:
            toggle(world.workers.cuts, pair);
            return;
        case 6:
            worker.state = worker.state === "serving" ? "draining" : "serving";
            return;
        case 7: {
            const assignmentNumber = worker.assignmentNumber + 2;
            worker.assignmentNumber = assignmentNumber;
            setTimeout(() => world.setInstance(worker.instance, { assignmentNumber }), random.int(1, 2000));
            return;
        }
        case 8:
            worker.crossesAnswers = !worker.crossesAnswers;
            return;
        case 9:
            cutZones(world);
            return;
        case 10:
            world.breakConnections(entry.boot);
            return;
        case 11:
            world.freeze(entry.boot);
            setTimeout(() => world.wake(entry.boot), random.int(100, 8000));
            return;
        default:
            toggle(world.leaving, worker.instance);
            return;
    }
}

function toggle(set: Set<string>, member: string): void {
    if (!set.delete(member)) {
        set.add(member);
    }
}

function cutZones(world: DispatchWorld): void {
    const { cuts } = world.network;
    const wasCut = cuts.size > 0;
    cuts.clear();
    for (const from of wasCut ? [] : world.entries) {
        for (const to of world.entries) {
            if (from.zone !== to.zone) {
                cuts.add(`${from.boot}>${to.boot}`);
            }
        }
    }
}

function mendAll(world: DispatchWorld): void {
    world.network.cuts.clear();
    world.workers.cuts.clear();
    world.leaving.clear();
    world.workers.workers.forEach(mend);
    world.entries.forEach(({ boot }) => world.wake(boot));
}

function mend(worker: FakeWorker): void {
    Object.assign(worker, {
        failsAll: false,
        truncatesAnswers: false,
        crossesAnswers: false,
        answerDelayMs: 0,
        isDead: false,
        state: "serving",
    });
}

async function stopAll(world: DispatchWorld, advance: (ms: number) => Promise<void>): Promise<void> {
    const stopped = world.stop();
    await advance(200);
    await stopped;
}
