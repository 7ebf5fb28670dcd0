import { type Either, Left, Right } from "purify-ts";
import { applyChanges } from "./applyPlanCommand";
import { applyPlanned } from "./applyPlannedStep";
import { findDrainRefusal } from "./findDrainRefusal";
import { putInstance } from "./instances";
import type { PlanState } from "./plan";
import { addHistory, setPlan } from "./planHistory";
import { nameRack } from "./rack";
import type { CommandRecord, FleetState, Instance, Rejection } from "./state";
import type { Step } from "./step";
import { noteLoss } from "./stopPlans";

type Applied = Either<Rejection, FleetState>;

/** Who appended the step and when. */
export type StepContext = Pick<CommandRecord, "by" | "atMs">;

/** Applies one step; a step sent by an executor that was paused meets another assignment number and is refused. */
export function applyStep(state: FleetState, step: Step, context: StepContext): Applied {
    switch (step.kind) {
        case "skip":
            return skip(state, step, context);
        case "finishPlan":
            return finishPlan(state, step.plan, context);
        default: {
            const instance = state.instances[step.instance];
            if (instance === undefined) {
                return reject(`there is no instance ${step.instance}`);
            }
            if (instance.assignmentNumber !== step.assignmentNumber) {
                const { assignmentNumber } = instance;
                return reject(`${step.instance} is at assignment ${assignmentNumber}, not ${step.assignmentNumber}`);
            }
            return applyToInstance(state, instance, step, context);
        }
    }
}

type InstanceStep = Exclude<Step, { kind: "skip" | "finishPlan"; }>;

function applyToInstance(state: FleetState, instance: Instance, step: InstanceStep, context: StepContext): Applied {
    switch (step.kind) {
        case "beginDrain":
            return beginDrain(state, instance, step.plan, context);
        case "reportLost":
            return reportLost(state, instance, step, context);
        case "reportRecovered":
            return instance.state.kind === "lost"
                ? Right(putInstance(state, { ...instance, state: { kind: "serving" } }))
                : reject(`${instance.name} is ${instance.state.kind}`);
        default:
            return applyPlanned(state, instance, step, context);
    }
}

function beginDrain(state: FleetState, instance: Instance, planId: string, { by, atMs }: StepContext): Applied {
    const plan = state.plans[planId];
    const item = plan?.waiting[instance.name];
    if (plan === undefined || item === undefined) {
        return reject(`plan ${planId} has nothing to begin with ${instance.name}`);
    }
    const refusal = findDrainRefusal(state, plan, instance, atMs);
    if (refusal !== undefined) {
        return reject(refusal);
    }
    const waiting = { ...plan.waiting };
    delete waiting[instance.name];
    const begun: PlanState = {
        ...plan,
        waiting,
        active: [...plan.active, instance.name],
        firstRack: plan.firstRack ?? nameRack(instance),
        lastStepAtMs: atMs,
    };
    const taken: Instance = {
        ...instance,
        assignmentNumber: instance.assignmentNumber + 1,
        state: { kind: "draining", plan: planId, item, sinceMs: atMs },
    };
    const line = { atMs, by, what: `drain ${instance.name}`, reason: item.kind };
    return Right(setPlan(putInstance(state, taken), addHistory(begun, line)));
}

function reportLost(
    state: FleetState,
    instance: Instance,
    { cause, detail }: Extract<Step, { kind: "reportLost"; }>,
    context: StepContext,
): Applied {
    if (instance.state.kind !== "serving") {
        return reject(`${instance.name} is ${instance.state.kind}`);
    }
    const lost = putInstance(state, { ...instance, state: { kind: "lost", cause, sinceMs: context.atMs } });
    return Right(noteLoss(lost, instance, detail, context));
}

function skip(state: FleetState, step: Extract<Step, { kind: "skip"; }>, { by, atMs }: StepContext): Applied {
    const plan = state.plans[step.plan];
    const item = plan?.waiting[step.instance];
    const instance = state.instances[step.instance];
    if (plan === undefined || item === undefined) {
        return reject(`plan ${step.plan} has nothing waiting for ${step.instance}`);
    }
    if (instance !== undefined && !(item.kind === "move" && instance.pool !== item.from)) {
        return reject(`${step.instance} can still be worked on`);
    }
    const { [step.instance]: _skipped, ...waiting } = plan.waiting;
    const counts = { ...plan.counts, skipped: plan.counts.skipped + 1 };
    const line = { atMs, by, what: `skip ${step.instance}`, reason: step.detail };
    return Right(setPlan(state, addHistory({ ...plan, waiting, counts, lastStepAtMs: atMs }, line)));
}

function finishPlan(state: FleetState, id: string, { by, atMs }: StepContext): Applied {
    const plan = state.plans[id];
    const isDone = plan?.status.kind === "running" && plan.active.length === 0
        && Object.keys(plan.waiting).length === 0;
    if (plan === undefined || !isDone) {
        return reject(`plan ${id} has work left or does not run`);
    }
    const isWhole = plan.counts.failed + plan.counts.skipped === 0;
    const changed = isWhole ? applyChanges(state, plan.afterwards) : Right<FleetState, Rejection>(state);
    const reason = changed.swap().map(({ detail }) => detail).orDefault(isWhole ? "" : "not all work was done");
    const finished = { ...plan, status: { kind: "finished", atMs }, returned: {}, lastStepAtMs: atMs } as const;
    return Right(setPlan(changed.orDefault(state), addHistory(finished, { atMs, by, what: "finished", reason })));
}

function reject(detail: string): Applied {
    return Left({ kind: "rejected", detail });
}
