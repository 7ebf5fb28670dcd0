import { Given, When } from "@cucumber/cucumber";
import { plainPolicy, plainStep, type WorkerFault } from "../../standins/scheduling";
import { pass, stepMs, workerName, type World } from "./world";

/** From a crash until the worker is back, in milliseconds; its entry stands all the while. */
const restartMs = 400;

async function passUntilStarted(world: World): Promise<void> {
    for (let waitedMs = 0; world.world.workers.runningTasks().length === 0 && waitedMs < 5000; waitedMs += stepMs) {
        await pass(world, stepMs);
    }
}

Given("the tenant may run {int} tasks at once", function(this: World, count: number) {
    const cap = { cpuMillis: count * plainStep.size.cpuMillis, memoryMb: 0, accelerators: 0 };
    this.world.policy = { ...plainPolicy, tenants: plainPolicy.tenants.map((tenant) => ({ ...tenant, cap })) };
});

When(
    "a submission comes whose task of {int} ms needs a worker of kind {string}",
    async function(this: World, workMs: number, workerLabel: string) {
        const id = (this.ids.length + 1).toString(16).padStart(16, "f");
        this.ids.push(id);
        this.workMs.set(id, workMs);
        this.world.submit(id, [{ estimateMs: workMs, workerLabel }]);
        await pass(this, 20);
    },
);

When("worker {int} starts again as kind {string}", async function(this: World, number: number, kind: string) {
    this.world.workers.get(workerName(number)).crash();
    await pass(this, restartMs);
    this.world.addWorker(workerName(number), "stalls", kind);
});

When("worker {int} starts again, and its entry still tells of its earlier life", async function(
    this: World,
    number: number,
) {
    this.world.workers.get(workerName(number)).crash();
    await pass(this, restartMs);
    this.world.workers.add(workerName(number));
});

When("worker {int} writes its entry", function(this: World, number: number) {
    this.world.writeEntry(workerName(number));
});

When("the owner is killed as soon as a task has started", async function(this: World) {
    await passUntilStarted(this);
    this.world.owner()?.kill();
});

When(
    "worker {int} is {string} as soon as a task has started",
    async function(this: World, number: number, fault: WorkerFault) {
        await passUntilStarted(this);
        this.world.workers.get(workerName(number)).fault = fault;
    },
);

When("worker {int} of kind {string} joins", function(this: World, number: number, kind: string) {
    this.world.addWorker(workerName(number), "stalls", kind);
});

When("the latest submission is cancelled", function(this: World) {
    this.world.cancel(this.ids.at(-1) ?? "");
});
