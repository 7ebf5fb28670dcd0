import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { listTasks, plainStep } from "../../../standins/scheduling";
import type { Step } from "../../submissions";
import { addRun, keepTask, recordFailure } from "../index";
import { addWorker, plan, submit, workerOf, type World } from "./schedule.steps";

const advice = { decisionMs: 50, perWorkerMs: 5, validityMs: 3000 };

/** Prefix of submissions that the policy of their queue lets no worker run. */
const forbiddenName = "forbidden";

/** Demands of a step that no worker meets, or none with free capacity. */
const unmetDemands: Readonly<Record<string, Partial<Step>>> = {
    "need a label that no worker has": { workerLabel: "b" },
    "need more memory than any worker has": { size: { ...plainStep.size, memoryMb: 1_000_000 } },
    "need a label whose only worker is full": { workerLabel: "full" },
    "fit on no single worker as a gang": { isGang: true, size: { ...plainStep.size, cpuMillis: 3000 }, count: 50 },
};

Given("{int} submissions of {int} long-running tasks that {}", function(
    this: World,
    count: number,
    tasks: number,
    demand: string,
) {
    const { labels } = Object.assign(workerOf(this, 1), { labels: ["full"] });
    if (unmetDemands[demand]?.workerLabel === labels[0]) {
        const filling = submit(this, "filling", { isLongRunning: true });
        const [task] = listTasks(filling);
        assert.ok(task);
        Array.from(
            { length: 4 },
            (_, at) => addRun(this.state, task, workerOf(this, 1), at + 1, "running", this.nowMs),
        );
    }
    Array.from(
        { length: count },
        (_, at) => submit(this, `unmet-${at}`, { count: tasks, isLongRunning: true, ...unmetDemands[demand] }),
    );
});

Given("{int} submissions of {int} long-running task that may run on no worker by policy", function(
    this: World,
    count: number,
    tasks: number,
) {
    const [queue] = this.policy.queues;
    assert.ok(queue);
    this.policy = { ...this.policy, queues: [queue, { ...queue, name: "advised", pathPrefix: "/advised/", advice }] };
    Array.from({ length: count }, (_, at) => {
        submit(this, `${forbiddenName}-${at}`, { count: tasks, isLongRunning: true }, 0, { route: "advised" });
    });
});

Given("the account {string} may have {int} core(s)", function(this: World, name: string, cores: number) {
    const cap = { cpuMillis: cores * 1000, memoryMb: 0, accelerators: 0 };
    this.policy = { ...this.policy, tenants: [...this.policy.tenants, { name, keys: [], weight: 1, cap }] };
});

Given("{int} submissions of {string} of {int} long-running tasks", function(
    this: World,
    count: number,
    tenant: string,
    tasks: number,
) {
    Array.from(
        { length: count },
        (_, at) => submit(this, `${tenant}-${at}`, { count: tasks, isLongRunning: true }, 0, { tenant }),
    );
});

Given("each worker has had a failure", function(this: World) {
    this.state.workers.forEach((worker) => recordFailure(worker, "failing", this.nowMs));
});

Given("a submission {string} of {int} tasks that have failed before", function(
    this: World,
    name: string,
    count: number,
) {
    // The ranking puts it first.
    const entry = submit(this, name, { count, estimateMs: 1 });
    entry.maxAttempts = 3;
    listTasks(entry).forEach((task) => {
        task.failedRuns.add(1);
        keepTask(task);
    });
});

Given("pool {string} with {int} workers of {int} cores and a backlog of {int} tasks", function(
    this: World,
    pool: string,
    workers: number,
    cores: number,
    tasks: number,
) {
    Array.from({ length: workers }, () => addWorker(this, cores).pool = pool);
    const [queue] = this.policy.queues;
    assert.ok(queue);
    this.policy = { ...this.policy, queues: [queue, { ...queue, name: pool, service: pool }] };
    submit(this, "backlog", { count: tasks, estimateMs: 1 }, 0, { route: pool, service: pool });
});

When("starts are planned in {int} rounds", function(this: World, rounds: number) {
    for (let round = 0; round < rounds; round++) {
        let failures = 0;
        this.nowMs += 10;
        plan(this, ({ entry }) => {
            const isForbidden = entry.submission.id.startsWith(forbiddenName);
            failures += isForbidden ? 1 : 0;
            return isForbidden ? new Set() : undefined;
        });
        this.maxFailures = Math.max(this.maxFailures, failures);
    }
});

When("starts are planned in {int} rounds, with no worker allowed for the first {int} occurrences", function(
    this: World,
    rounds: number,
    occurrences: number,
) {
    this.policy = { ...this.policy, queues: this.policy.queues.map((queue) => ({ ...queue, advice })) };
    for (let round = 0; round < rounds; round++) {
        this.nowMs += 10;
        plan(this, ({ tasks: [task] }) => (task?.occurrence ?? 0) < occurrences ? new Set() : undefined);
    }
});

Then("at most {int} placements failed in a round", function(this: World, most: number) {
    assert.ok(this.maxFailures <= most, String(this.maxFailures));
});
