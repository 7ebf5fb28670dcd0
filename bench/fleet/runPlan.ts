import { createFleetModel, type ModelOptions, startSender } from "../../standins/fleet";
import { createRandom } from "../../standins/random";

export interface PlanRun {
    readonly rollOutMs: number;
    readonly moves: number;
    readonly rebooted: number;
    /** How long each drain lasted, as the log has it, by the pool that it took from. */
    readonly drainsMs: ReadonlyMap<string, readonly number[]>;
    /** Most instances of one pool that were truly out at once. */
    readonly mostOutOfAPool: number;
    readonly writes: number;
    readonly violations: number;
}

export interface PlanRunOptions extends ModelOptions {
    readonly intent: unknown;
    readonly rebootMs: number;
    /** Work for each entry to send; none where absent. */
    readonly work?: { readonly everyMs: number; readonly maxRunMs: number; readonly seed: number; };
}

const warmUpMs = 20_000;
const patienceMs = 20 * 24 * 3_600_000;

/** Confirms the intent's plan in a fleet on a paused clock, and measures how it is carried out. */
export async function runPlan(opts: PlanRunOptions): Promise<PlanRun> {
    const model = await createFleetModel(opts);
    model.workers.rebootMs = opts.rebootMs;
    const random = createRandom(opts.work?.seed ?? 1);
    for (const entry of opts.work === undefined ? [] : model.entries) {
        startSender(model, entry, opts.work?.everyMs ?? 0, opts.work?.maxRunMs ?? 0, random);
    }
    await model.run(warmUpMs);
    const before = model.state();
    const writes = model.platform.calls.write;
    const drainsMs = new Map<string, number[]>();
    const began = new Map<string, number>();
    model.onState(({ instances }) => {
        for (const { name, pool, state: { kind } } of Object.values(instances)) {
            if (kind === "draining" && !began.has(name)) {
                began.set(name, Date.now());
            }
            if (kind === "drained" && began.has(name)) {
                drainsMs.set(pool, [...drainsMs.get(pool) ?? [], Date.now() - (began.get(name) ?? 0)]);
                began.delete(name);
            }
        }
    });
    const startedAtMs = Date.now();
    const plan = await model.confirm(opts.intent);
    await model.run(patienceMs, () => model.isFinished(plan));
    const after = Object.values(model.state().instances);
    const result = {
        rollOutMs: (model.state().plans[plan]?.lastStepAtMs ?? 0) - startedAtMs,
        moves: after.filter(({ name, pool }) => before.instances[name]?.pool !== pool).length,
        rebooted: [...model.workers.workers.values()].filter(({ boots }) => boots > 1).length,
        drainsMs,
        mostOutOfAPool: Math.max(0, ...model.judge.mostOut.values()),
        writes: model.platform.calls.write - writes,
        violations: model.judge.violations.length,
    };
    model.stop();
    return result;
}
