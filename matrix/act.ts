import { createPlan, intentSchema } from "../src/plans";
import type { ConfirmedPlan } from "../src/state";
import { type SimEntry, type World, zones } from "./createWorld";
import type { Judge } from "./judge";
import type { Activity } from "./rows";

const retryMs = 2000;
const maxTries = 30;

/** Does what operators and the platform do in a run; each is tried again until it is done, as an operator would. */
export async function act(world: World, judge: Judge, activity: Activity): Promise<void> {
    switch (activity) {
        case "none":
            return;
        case "configure":
            return configure(world, judge);
        case "withdrawKey":
            return withdrawKey(world, judge);
        case "move":
            return confirmIntent(world, judge, {
                moves: [{ instance: "worker-zone-a-0", to: "invoicing" }, {
                    instance: "worker-zone-b-1",
                    to: "stalls",
                }],
            });
        case "wave":
            return confirmIntent(world, judge, { wave: { pools: ["stalls"] } });
        case "startEntry":
            await world.startEntry(zones[0], "entry-extra");
            return;
        case "stopEntry":
            return stopEntry(world, judge);
        case "leaveWorker":
            return leaveWorker(world, judge);
    }
}

function runningEntry(world: World): SimEntry | undefined {
    return world.entries.find(({ host, isStopping }) => host.state === "running" && !isStopping);
}

function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Asks one running entry after another until the change is accepted; an answer may be lost with its entry. */
async function insist(
    world: World,
    judge: Judge,
    change: (entry: SimEntry) => Promise<number | undefined>,
): Promise<boolean> {
    for (let tries = 0; tries < maxTries; tries++) {
        const entry = runningEntry(world);
        const asked = entry === undefined
            ? sleep(retryMs)
            : new Promise<number | undefined>((resolve) => entry.host.run(() => void change(entry).then(resolve)));
        const revision = await Promise.race([asked, sleep(retryMs * 2)]);
        if (typeof revision === "number") {
            judge.noteAccepted(revision);
            return true;
        }
        await sleep(retryMs);
    }
    return false;
}

async function configure(world: World, judge: Judge): Promise<void> {
    const team = {
        name: "stables",
        weight: 3,
        limit: { tasks: 6, processors: 1000, memoryMb: 1_000_000, accelerators: 0 },
        pools: ["stalls", "invoicing"],
    };
    const command = { kind: "change", changes: [{ kind: "setTeam", team }] } as const;
    await insist(
        world,
        judge,
        async ({ core }) =>
            (await core.configuration.append({ by: "operator", reason: "share", command })).toMaybe().extract(),
    );
}

async function withdrawKey(world: World, judge: Judge): Promise<void> {
    const keyId = world.keys["blenders"]?.id ?? "";
    const command = { kind: "change", changes: [{ kind: "withdrawKey", keyId }] } as const;
    await insist(world, judge, async ({ core }) => {
        const appended = await core.configuration.append({ by: "operator", reason: "leaver", command });
        const isGone = core.configuration.state()?.teams["blenders"]?.keys[keyId] === undefined;
        return appended.toMaybe().extract() ?? (isGone ? core.configuration.state()?.revision : undefined);
    });
    judge.noteWithdrawal("blenders");
}

async function confirmIntent(world: World, judge: Judge, parts: unknown): Promise<void> {
    const intent = intentSchema.parse(parts);
    await insist(world, judge, async ({ boot, core }) => {
        const state = core.configuration.state();
        if (state === undefined) {
            return undefined;
        }
        world.emit({ boot, kind: "plan", when: "before" });
        const plan = createPlan(state, intent);
        const command = { kind: "confirmPlan", plan: pickConfirmed(plan) } as const;
        const appended = await core.configuration.append({ by: "operator", reason: "wave", command });
        return appended.toMaybe().extract();
    });
}

/** The parts of a plan that stand in the log. */
function pickConfirmed(plan: ConfirmedPlan): ConfirmedPlan {
    const { id, madeAtRevision, reason, touches, changes, work, afterwards, policy } = plan;
    return { id, madeAtRevision, reason, touches, changes, work, afterwards, policy };
}

async function stopEntry(world: World, judge: Judge): Promise<void> {
    const entry = world.entries[1];
    if (entry !== undefined && entry.host.state === "running") {
        judge.noteStop(entry.boot);
        entry.isStopping = true;
        world.emit({ boot: entry.boot, kind: "entryStop", when: "before" });
        await new Promise<void>((resolve) => entry.host.run(() => void entry.core.stop().then(resolve)));
        entry.host.kill();
        world.network.remove(entry.boot);
    }
}

/** The platform begins to take a worker away; its list is the only sign. */
async function leaveWorker(world: World, judge: Judge): Promise<void> {
    const instance = "worker-zone-a-1";
    world.platform.instances.set(instance, "leaving");
    judge.noteLeaving(instance);
    const entry = runningEntry(world);
    if (entry !== undefined) {
        world.emit({ boot: entry.boot, kind: "leave", when: "before" });
    }
    return Promise.resolve();
}
