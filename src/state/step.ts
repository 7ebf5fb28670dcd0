/** One step of carrying out a plan; it applies only at the assignment number that its sender saw. */
interface InstanceStep {
    readonly instance: string;
    readonly assignmentNumber: number;
}

/**
 * Steps that entries append while they carry out plans and watch over instances.
 *
 * - `beginDrain`: takes a token of the pool's availability budget; refused where none is left.
 * - `finishDrain`: the worker confirmed the drain at this assignment number and runs nothing.
 * - `abandonDrain`: back towards service in the old pool, because work did not end or the plan was cancelled.
 * - `beginReboot`: `workerBoot` is the boot that the restart ends.
 * - `beginProving`: the one step at which an instance changes its pool.
 * - `serve`: proved healthy; gives the token back.
 * - `remove`: takes a drained instance out of the fleet.
 * - `fail`: it did not come back; counts as lost, and as a failure of the plan.
 * - `skip`: the work can't be begun any more; it is left out.
 */
export type Step =
    | { readonly kind: "beginDrain"; readonly plan: string; } & InstanceStep
    | { readonly kind: "finishDrain"; } & InstanceStep
    | { readonly kind: "abandonDrain"; readonly detail: string; } & InstanceStep
    | { readonly kind: "beginReboot"; readonly workerBoot: string; } & InstanceStep
    | { readonly kind: "beginProving"; } & InstanceStep
    | { readonly kind: "serve"; } & InstanceStep
    | { readonly kind: "remove"; } & InstanceStep
    | { readonly kind: "fail"; readonly detail: string; } & InstanceStep
    | { readonly kind: "reportLost"; readonly cause: "silent" | "leaving"; readonly detail: string; } & InstanceStep
    | { readonly kind: "reportRecovered"; } & InstanceStep
    | { readonly kind: "skip"; readonly plan: string; readonly instance: string; readonly detail: string; }
    | { readonly kind: "finishPlan"; readonly plan: string; };
