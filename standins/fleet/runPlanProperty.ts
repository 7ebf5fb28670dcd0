import { createRandom, type Random } from "../random";
import { createFleetModel, type FleetModel } from "./createFleetModel";
import { startSender } from "./startSender";

export interface PropertyResult {
    readonly violations: readonly string[];
    /** What was done to the fleet, for reading a failure. */
    readonly story: readonly string[];
    readonly plans: number;
    readonly taskStarts: number;
}

const disturbedMs = 240_000;
const healingMs = 1_500_000;
const healTimeMs = 20_000;

/** One seeded schedule of plans and faults; gives what broke a promise. */
export async function runPlanProperty(seed: number): Promise<PropertyResult> {
    const random = createRandom(seed);
    const zones = random.int(1, 3);
    const model = await createFleetModel({
        entries: 3,
        zones,
        perRack: random.int(1, 3),
        pools: Array.from({ length: random.int(2, 3) }, (_, at) => ({
            name: `pool-${at}`,
            maxUnavailable: random.int(1, 2),
            instances: random.int(2, 5),
        })),
        timing: { probeEveryMs: 3000, listEveryMs: 6000 },
    });
    const story: string[] = [];
    const plans: string[] = [];
    try {
        model.workers.rebootMs = random.int(1, 20) * 1000;
        Object.keys(model.state().instances).forEach((name) => model.platform.instances.set(name, "live"));
        model.entries.forEach((entry) => startSender(model, entry, 3000, 8000, random));
        await model.run(8000);
        const endAtMs = Date.now() + disturbedMs;
        while (Date.now() < endAtMs) {
            const act = random.pick(acts);
            story.push(`${Date.now()} ${act.name}`);
            await act(model, random, plans);
            await model.run(random.int(100, 25_000));
        }
        await heal(model);
        await model.run(healingMs, () => plans.every((plan) => hasEnded(model, plan)));
        await model.run(healTimeMs);
        const violations = [...model.judge.violations, ...judgeEnd(model, plans)];
        return { violations, story, plans: plans.length, taskStarts: model.judge.starts() };
    }
    finally {
        model.stop();
    }
}

type Act = (model: FleetModel, random: Random, plans: string[]) => Promise<void>;

async function state(model: FleetModel, plans: string[], intent: unknown): Promise<void> {
    if (model.platform.isDown) {
        return;
    }
    const id = await model.tryConfirm(intent);
    if (id !== undefined) {
        plans.push(id);
    }
}

const acts: readonly Act[] = [
    async function wave(model, random, plans) {
        const pools = random.chance(50) ? {} : { pools: [random.pick(Object.keys(model.state().pools))] };
        await state(model, plans, { reason: `wave ${Date.now()}`, wave: pools });
    },
    async function move(model, random, plans) {
        const instance = random.pick(Object.keys(model.state().instances));
        await state(model, plans, { moves: [{ instance, to: random.pick(Object.keys(model.state().pools)) }] });
    },
    async function moveTwo(model, random, plans) {
        const to = random.pick(Object.keys(model.state().pools));
        const names = Object.keys(model.state().instances);
        const chosen = new Set([random.pick(names), random.pick(names)]);
        await state(model, plans, { moves: [...chosen].map((instance) => ({ instance, to })) });
    },
    async function steer(model, random, plans) {
        const kind = random.pick(["pausePlan", "resumePlan", "resumePlan", "cancelPlan"] as const);
        if (plans.length > 0 && !model.platform.isDown) {
            await model.appendAs("operator", { kind, plan: random.pick(plans) });
        }
    },
    async function killEntry(model, random) {
        random.pick(model.entries).kill();
        const entry = model.addEntry();
        startSender(model, entry, 3000, 8000, random);
    },
    async function freezeEntry(model, random) {
        const entry = random.pick(model.entries.slice(-3));
        if (!entry.gate.isFrozen) {
            entry.gate.freezeAt = entry.gate.calls + random.int(1, 6);
            model.clock.setTimeout(() => model.wake(entry), random.int(3, 90) * 1000);
        }
    },
    async function freezeBeforeNotice(model, random) {
        const entry = random.pick(model.entries.slice(-3));
        if (!entry.gate.isFrozen) {
            entry.gate.freezesBeforeNotice = true;
            model.clock.setTimeout(() => model.wake(entry), random.int(20, 120) * 1000);
        }
    },
    async function loseAnswers(model, random) {
        model.platform.lostWriteAnswers = random.int(1, 4);
    },
    async function platformDown(model, random) {
        model.platform.isDown = true;
        model.clock.setTimeout(() => model.platform.isDown = false, random.int(2, 60) * 1000);
    },
    async function cutPlatform(model, random) {
        const { boot } = random.pick(model.entries.slice(-3));
        model.platform.cutOff.add(boot);
        model.clock.setTimeout(() => model.platform.cutOff.delete(boot), random.int(2, 60) * 1000);
    },
    async function cutPeers(model, random) {
        const cut = `${random.pick(model.entries.slice(-3)).boot}>${random.pick(model.entries.slice(-3)).boot}`;
        model.network.cuts.add(cut);
        model.clock.setTimeout(() => model.network.cuts.delete(cut), random.int(2, 60) * 1000);
    },
    async function cutWorker(model, random) {
        const cut = `${random.pick(model.entries.slice(-3)).boot}>${random.pick([...model.workers.workers.keys()])}`;
        model.workers.cuts.add(cut);
        model.clock.setTimeout(() => model.workers.cuts.delete(cut), random.int(2, 60) * 1000);
    },
    async function killWorker(model, random) {
        const worker = random.pick([...model.workers.workers.values()]);
        worker.isDead = true;
        model.clock.setTimeout(() => worker.isDead = false, random.int(2, 120) * 1000);
    },
    async function listLeaving(model, random) {
        const name = random.pick([...model.workers.workers.keys()]);
        model.platform.instances.set(name, "leaving");
        model.clock.setTimeout(() => model.platform.instances.set(name, "live"), random.int(2, 60) * 1000);
    },
];

async function heal(model: FleetModel): Promise<void> {
    model.platform.isDown = false;
    model.platform.lostWriteAnswers = 0;
    model.platform.cutOff.clear();
    model.network.cuts.clear();
    model.workers.cuts.clear();
    model.workers.workers.forEach((worker) => worker.isDead = false);
    model.workers.workers.forEach(({ instance }) => model.platform.instances.set(instance, "live"));
    model.entries.forEach((entry) => {
        entry.gate.freezeAt = -1;
        entry.gate.freezesBeforeNotice = false;
        model.wake(entry);
    });
    await model.run(40_000);
    for (const { id, status } of Object.values(model.state().plans)) {
        if (status.kind === "paused" || status.kind === "stopped") {
            await model.appendAs("operator", { kind: "resumePlan", plan: id });
        }
    }
}

function hasEnded(model: FleetModel, id: string): boolean {
    const { status, active } = model.state().plans[id] ?? {};
    return (status?.kind === "finished" || status?.kind === "cancelled" || status?.kind === "stopped")
        && active?.length === 0;
}

/** Once all is healed: every plan has ended, each piece of work is accounted for, and workers are as the log says. */
function judgeEnd(model: FleetModel, plans: readonly string[]): string[] {
    const { instances } = model.state();
    const unfinished = plans.filter((plan) => !hasEnded(model, plan))
        .map((plan) => `plan ${plan} has not ended: ${JSON.stringify(model.state().plans[plan])}`);
    const astray = Object.values(instances).flatMap(({ name, pool, assignmentNumber, state: { kind } }) => {
        const worker = model.workers.workers.get(name)!;
        const truth = `${worker.state} ${worker.pool} ${worker.assignmentNumber}`;
        const said = `${kind} ${pool} ${assignmentNumber}`;
        return truth === said ? [] : [`${name} is ${truth}, the log says ${said}`];
    });
    return [...unfinished, ...astray, ...model.judge.doneTwice()];
}
