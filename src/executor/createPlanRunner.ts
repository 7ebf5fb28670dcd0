import type { FleetState, PlanState, Step } from "../state";
import { advanceInstance } from "./advanceInstance";
import { chooseDrains } from "./chooseDrains";
import { createLoop, type Loop } from "./createLoop";
import type { ExecutorOptions, ExecutorTiming } from "./executor";
import { rankOf } from "./rankOf";

export interface PlanRunnerOptions extends ExecutorOptions {
    readonly timing: ExecutorTiming;
}

/** Rounds of steps without waiting for the next tick. */
const maxRoundsPerTick = 4;

/**
 * Carries out the confirmed plans for which it is this entry's turn.
 *
 * One entry is first in line for a plan. It may die, sleep, or lose the platform while its links to others stand;
 * a plan would then stand still with instances out of service. So the next in line takes part once nothing has
 * happened for a while, and two at once do no harm, because the reducer and the workers refuse what is out of date.
 */
export function createPlanRunner(opts: PlanRunnerOptions): Loop {
    const { configuration, peers, timing } = opts;
    const goodAnswers = new Map<string, number>();

    function isOwnTurn(plan: PlanState): boolean {
        const others = peers.connected().map(({ boot }) => boot);
        const rank = rankOf(peers.self.boot, plan.id, others);
        return Date.now() - plan.lastStepAtMs >= rank * timing.takeoverMs;
    }

    async function run(): Promise<void> {
        const state = configuration.state();
        if (state === undefined) {
            return;
        }
        const plans = Object.values(state.plans).filter((plan) => hasWork(plan) && isOwnTurn(plan));
        await Promise.all(plans.map(({ id }) => advancePlan(id)));
    }

    /** Goes on at once where a step has made the next one possible; a token given back is thereby used soon. */
    async function advancePlan(id: string): Promise<void> {
        for (let round = 0; round < maxRoundsPerTick; round++) {
            const state = configuration.state();
            const plan = state?.plans[id];
            if (
                state === undefined || plan === undefined || !hasWork(plan) || !(await advanceOnce(state, plan, round))
            ) {
                return;
            }
        }
    }

    /** Gives true where steps were appended. */
    async function advanceOnce(state: FleetState, plan: PlanState, round: number): Promise<boolean> {
        // Good answers that prove an instance healthy have to lie apart in time: one look in each tick.
        const looked = plan.active.filter((name) => round === 0 || state.instances[name]?.state.kind !== "proving");
        const advanced = await Promise.all(looked.map((name) => advance(state, plan, name)));
        const steps = advanced.filter((step) => step !== undefined);
        if (plan.status.kind === "running") {
            const isDone = plan.active.length === 0 && Object.keys(plan.waiting).length === 0;
            steps.push(
                ...isDone
                    ? [{ kind: "finishPlan", plan: plan.id } as const]
                    : chooseDrains(state, plan, Date.now()),
            );
        }
        return steps.length > 0 && await append(plan, steps);
    }

    async function advance(state: FleetState, plan: PlanState, name: string): Promise<Step | undefined> {
        const instance = state.instances[name];
        const taken = instance?.state;
        if (instance === undefined || taken === undefined || !("plan" in taken) || taken.plan !== plan.id) {
            return undefined;
        }
        const { workers } = opts;
        return advanceInstance(instance, taken, plan, { workers, healthyChecks: timing.healthyChecks, goodAnswers });
    }

    async function append(plan: PlanState, steps: readonly Step[]): Promise<boolean> {
        const request = { by: peers.self.boot, reason: plan.reason, command: { kind: "steps", steps } } as const;
        const appended = await configuration.append(request);
        appended.caseOf({
            Left: ({ kind, detail }) =>
                opts.report({ kind: "note", slice: "executor", message: `steps ${kind}`, detail }),
            Right: () =>
                steps.forEach((step) =>
                    opts.report({
                        kind: "planStep",
                        plan: plan.id,
                        step: step.kind,
                        instance: "instance" in step ? step.instance : "",
                        reason: "detail" in step ? step.detail : plan.reason,
                    })
                ),
        });
        return appended.isRight();
    }

    return createLoop(timing.tickMs, run);
}

function hasWork(plan: PlanState): boolean {
    return plan.status.kind === "running" || plan.active.length > 0;
}
