import type { Instance, InstanceState, PlanState, Step } from "../state";
import type { WorkerAddress, Workers, WorkerUsage } from "../workers";

export interface AdvanceOptions {
    readonly workers: Workers;
    readonly healthyChecks: number;
    /** Good answers in a row by `instance@assignmentNumber`; kept by the caller between looks. */
    readonly goodAnswers: Map<string, number>;
}

type Taken = Extract<InstanceState, { plan: string; }>;

/**
 * Looks at one instance that a plan has out of service: tells the worker what it should do and does not do yet, and
 * gives the step that has become possible, if any. Everything here may be done twice, or by two entries at once:
 * the worker refuses a notice of an older assignment number, and the reducer a step of an older one.
 */
export async function advanceInstance(
    instance: Instance,
    taken: Taken,
    plan: PlanState,
    opts: AdvanceOptions,
): Promise<Step | undefined> {
    const { name, assignmentNumber, url } = instance;
    const base = { instance: name, assignmentNumber };
    const worker = { instance: name, url };
    if (taken.kind === "draining" && plan.status.kind === "cancelled") {
        return { kind: "abandonDrain", detail: "the plan was cancelled", ...base };
    }
    const usage = (await opts.workers.readUsage(worker)).orDefault(undefined as never) as WorkerUsage | undefined;
    const lateMs = Date.now() - taken.sinceMs;
    if (usage === undefined || usage.assignmentNumber > assignmentNumber) {
        // A worker with a higher number has been told of steps that this entry has yet to learn.
        const isOverdue = usage === undefined && lateMs > plan.policy.returnDeadlineMs;
        return isOverdue ? { kind: "fail", detail: `no answer while ${taken.kind}`, ...base } : undefined;
    }
    switch (taken.kind) {
        case "draining":
            return advanceDrain(instance, usage, lateMs, plan, opts);
        case "drained":
            return leaveDrained(taken, usage, base);
        case "rebooting":
            return advanceReboot(taken, usage, lateMs, worker, base, plan, opts);
        case "proving":
            return advanceProof(instance, usage, lateMs, plan, opts);
    }
}

async function advanceDrain(
    { name, url, assignmentNumber }: Instance,
    usage: WorkerUsage,
    lateMs: number,
    { policy }: PlanState,
    { workers }: AdvanceOptions,
): Promise<Step | undefined> {
    const base = { instance: name, assignmentNumber };
    const worker = { instance: name, url };
    // Until the worker itself has confirmed the drain at this number, an entry that is cut off and still believes
    // the old state could start work there; "nothing runs" would then hold for a moment only, and a reboot would cut
    // that work.
    const isConfirmed = usage.assignmentNumber === assignmentNumber && usage.state !== "serving";
    if (!isConfirmed) {
        await workers.sendCommand(worker, { kind: "drain", assignmentNumber });
    }
    else if (usage.runningTasks === 0 && usage.state === "draining") {
        return { kind: "finishDrain", ...base };
    }
    else if (lateMs > policy.checkpointAfterMs) {
        await checkpointRepeatable(worker, usage, workers);
    }
    return lateMs > policy.drainDeadlineMs
        ? { kind: "abandonDrain", detail: "running work did not end in time, and is not cut", ...base }
        : undefined;
}

async function checkpointRepeatable(worker: WorkerAddress, usage: WorkerUsage, workers: Workers): Promise<void> {
    for (const { attempt, isRepeatable } of usage.tasks) {
        if (isRepeatable === true) {
            await workers.stopTask(worker, attempt, "checkpoint");
        }
    }
}

function leaveDrained(
    { item }: Taken,
    usage: WorkerUsage,
    base: { readonly instance: string; readonly assignmentNumber: number; },
): Step {
    switch (item.kind) {
        case "maintain":
            return { kind: "beginReboot", workerBoot: usage.workerBoot, ...base };
        case "move":
            return { kind: "beginProving", ...base };
        case "remove":
            return { kind: "remove", ...base };
    }
}

async function advanceReboot(
    { workerBoot }: Extract<Taken, { kind: "rebooting"; }>,
    usage: WorkerUsage,
    lateMs: number,
    worker: WorkerAddress,
    base: { readonly instance: string; readonly assignmentNumber: number; },
    { policy }: PlanState,
    { workers }: AdvanceOptions,
): Promise<Step | undefined> {
    if (usage.workerBoot !== workerBoot && usage.state !== "rebooting") {
        return { kind: "beginProving", ...base };
    }
    if (usage.state !== "rebooting") {
        await workers.sendCommand(worker, { kind: "reboot", assignmentNumber: base.assignmentNumber });
    }
    return lateMs > policy.returnDeadlineMs
        ? { kind: "fail", detail: "it did not come back from its reboot", ...base }
        : undefined;
}

async function advanceProof(
    { name, url, assignmentNumber, pool }: Instance,
    usage: WorkerUsage,
    lateMs: number,
    { policy }: PlanState,
    { workers, healthyChecks, goodAnswers }: AdvanceOptions,
): Promise<Step | undefined> {
    const check = `${name}@${assignmentNumber}`;
    const base = { instance: name, assignmentNumber };
    if (usage.assignmentNumber !== assignmentNumber || usage.state !== "serving") {
        goodAnswers.delete(check);
        await workers.sendCommand({ instance: name, url }, { kind: "serve", assignmentNumber, pool });
        return lateMs > policy.returnDeadlineMs ? { kind: "fail", detail: "it does not serve", ...base } : undefined;
    }
    const good = (goodAnswers.get(check) ?? 0) + 1;
    goodAnswers.set(check, good);
    if (good < healthyChecks) {
        return undefined;
    }
    goodAnswers.delete(check);
    return { kind: "serve", ...base };
}
