import { type Either, Left, Right } from "purify-ts";
import { putInstance, removeInstance } from "./instances";
import type { PlanState } from "./plan";
import { addHistory, setPlan } from "./planHistory";
import type { CommandRecord, FleetState, Instance, InstanceState, Rejection } from "./state";
import type { Step } from "./step";
import { countFailure } from "./stopPlans";

type Applied = Either<Rejection, FleetState>;
type Context = Pick<CommandRecord, "by" | "atMs">;
type TakenState = Extract<InstanceState, { plan: string; }>;
type PlannedStep = Extract<
    Step,
    { kind: "finishDrain" | "abandonDrain" | "beginReboot" | "beginProving" | "serve" | "remove" | "fail"; }
>;

/** Applies a step to an instance that a plan has taken out of service. */
export function applyPlanned(state: FleetState, instance: Instance, step: PlannedStep, context: Context): Applied {
    const taken = instance.state;
    if (taken.kind === "serving" || taken.kind === "lost") {
        return Left({ kind: "rejected", detail: `${instance.name} is ${taken.kind}` });
    }
    const plan = state.plans[taken.plan];
    if (plan === undefined) {
        return Left({ kind: "rejected", detail: `there is no plan ${taken.plan}` });
    }
    return advance(instance, taken, step, context).map((outcome) => {
        const line = {
            atMs: context.atMs,
            by: context.by,
            what: `${step.kind} ${instance.name}`,
            reason: taken.item.kind,
        };
        const noted = addHistory(notePlan(plan, instance.name, taken, step, context), line);
        return setPlan(replaceInstance(state, instance.name, outcome), noted);
    });
}

/** Gives the instance after the step; `undefined` where it leaves the fleet. */
function advance(
    instance: Instance,
    taken: TakenState,
    step: PlannedStep,
    { atMs }: Context,
): Either<Rejection, Instance | undefined> {
    const { plan, item } = taken;
    const next = { ...instance, assignmentNumber: instance.assignmentNumber + 1 };
    const base = { plan, item, sinceMs: atMs };
    switch (step.kind) {
        case "finishDrain":
            return taken.kind === "draining"
                ? Right({ ...instance, state: { kind: "drained", ...base } })
                : refuse(instance, step);
        case "abandonDrain":
            return taken.kind === "draining"
                ? Right({ ...next, state: { kind: "proving", isJoining: false, isAbandoned: true, ...base } })
                : refuse(instance, step);
        case "beginReboot":
            return taken.kind === "drained" && item.kind === "maintain"
                ? Right({ ...next, state: { kind: "rebooting", workerBoot: step.workerBoot, ...base } })
                : refuse(instance, step);
        case "beginProving":
            return beginProving(instance, next, taken, step, base);
        case "serve":
            return taken.kind === "proving"
                ? Right({
                    ...instance,
                    state: { kind: "serving" },
                    ...item.kind === "maintain" && !taken.isAbandoned ? { maintainedAtMs: atMs } : {},
                })
                : refuse(instance, step);
        case "remove":
            return taken.kind === "drained" && item.kind === "remove" ? Right(undefined) : refuse(instance, step);
        case "fail":
            return Right({ ...next, state: { kind: "lost", cause: "failed", sinceMs: atMs } });
    }
}

function beginProving(
    instance: Instance,
    next: Instance,
    { kind, item }: TakenState,
    step: PlannedStep,
    base: { readonly plan: string; readonly item: TakenState["item"]; readonly sinceMs: number; },
): Either<Rejection, Instance> {
    if (kind === "rebooting" && item.kind === "maintain") {
        return Right({ ...next, state: { kind: "proving", isJoining: false, isAbandoned: false, ...base } });
    }
    if (kind === "drained" && item.kind === "move") {
        return Right({
            ...next,
            pool: item.to,
            state: { kind: "proving", isJoining: true, isAbandoned: false, ...base },
        });
    }
    return refuse(instance, step);
}

/** What the step means for the plan. */
function notePlan(
    plan: PlanState,
    name: string,
    taken: TakenState,
    step: PlannedStep,
    context: Context,
): PlanState {
    const { atMs } = context;
    const noted = { ...plan, lastStepAtMs: atMs };
    const left = { ...noted, active: plan.active.filter((active) => active !== name) };
    switch (step.kind) {
        case "finishDrain":
        case "beginReboot":
        case "beginProving":
        case "abandonDrain":
            return noted;
        case "remove":
            return { ...left, counts: { ...plan.counts, done: plan.counts.done + 1 } };
        case "serve": {
            if (taken.kind === "proving" && taken.isAbandoned) {
                return { ...left, counts: { ...plan.counts, skipped: plan.counts.skipped + 1 } };
            }
            const soaking = Object.entries(plan.returned).filter(([, at]) => atMs - at <= plan.policy.soakMs);
            return {
                ...left,
                counts: { ...plan.counts, done: plan.counts.done + 1 },
                returned: Object.fromEntries([...soaking, [name, atMs]]),
            };
        }
        case "fail":
            return countFailure(left, step.detail, context);
    }
}

function replaceInstance(state: FleetState, name: string, outcome: Instance | undefined): FleetState {
    return outcome === undefined ? removeInstance(state, name) : putInstance(state, outcome);
}

function refuse(instance: Instance, step: PlannedStep): Either<Rejection, never> {
    return Left({ kind: "rejected", detail: `${instance.name} is ${instance.state.kind}: no ${step.kind}` });
}
