import { type Either, Left, Right } from "purify-ts";
import { applyChanges, confirmPlan, setPlanStatus } from "./applyPlanCommand";
import { applyStep } from "./applyStep";
import { inBatch } from "./instances";
import type { CommandRecord, FleetState, Rejection } from "./state";
import type { Step } from "./step";

type Applied = Either<Rejection, FleetState>;

/** Applies one command; deterministic, so that every entry comes to the same state from the same log. */
export function applyCommand(state: FleetState, record: CommandRecord): Applied {
    return applyByKind(state, record).map((next) => ({ ...next, revision: state.revision + 1 }));
}

function applyByKind(state: FleetState, record: CommandRecord): Applied {
    const { command } = record;
    switch (command.kind) {
        case "change":
            return applyChanges(state, command.changes);
        case "confirmPlan":
            return confirmPlan(state, command.plan, record);
        case "pausePlan":
        case "resumePlan":
        case "cancelPlan":
            return setPlanStatus(state, command.plan, command.kind, record);
        case "steps":
            return applySteps(state, command.steps, record);
        default:
            return Left({ kind: "rejected", detail: "a command of a kind that this version does not know" });
    }
}

/** Each step stands for itself: one that somebody else has done already does not hold up the others. */
function applySteps(state: FleetState, steps: readonly Step[], record: CommandRecord): Applied {
    return inBatch(state, (draft) => {
        let next = draft;
        let refusal = "there are no steps";
        for (const step of steps) {
            applyStep(next, step, record).caseOf({
                Left: ({ detail }) => void (refusal = detail),
                Right: (applied) => void (next = applied),
            });
        }
        return next === draft ? Left({ kind: "rejected", detail: refusal }) : Right(next);
    });
}
