import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decodeRecord, submissionKey } from "../../src/submissions";
import { plainPolicy, plainRoute } from "../../standins/scheduling";
import { pass, type World } from "./world";

const id = "a".repeat(16);

/** Configurations that may follow the one under which a submission was accepted. */
const laterQueues = {
    "renamed": [{ ...plainRoute, name: "stalls-2" }],
    "limited to 2 attempts": [{ ...plainRoute, maxAttempts: 2 }],
    "configured again": [plainRoute],
} as const;

async function submitFailing(world: World, failing: number, options: { readonly hasTerms?: boolean; }): Promise<void> {
    world.ids.push(id);
    world.world.workers.setFailing((task, run) => task.startsWith(id) && run <= failing);
    world.world.submit(id, [{}], options);
    await pass(world, 100);
}

When(
    "a submission with {int} attempt(s) comes whose first {int} runs fail",
    async function(this: World, maxAttempts: number, failing: number) {
        this.world.applyPolicy({ ...plainPolicy, queues: [{ ...plainRoute, maxAttempts }] });
        await submitFailing(this, failing, {});
    },
);

When(
    "a submission of an earlier build comes whose first {int} runs fail",
    async function(this: World, failing: number) {
        this.world.applyPolicy({ ...plainPolicy, queues: [] });
        await submitFailing(this, failing, { hasTerms: false });
    },
);

When("the queue is {string}", function(this: World, change: keyof typeof laterQueues) {
    const version = this.world.policy.version + 1;
    this.world.isPolicyKnown = true;
    this.world.applyPolicy({ ...plainPolicy, version, queues: laterQueues[change] });
});

When("no configuration can be read", function(this: World) {
    this.world.isPolicyKnown = false;
});

Then("task {int} was started {int} time(s)", function(this: World, index: number, count: number) {
    const starts = this.world.workers.events.filter(({ kind, task }) =>
        kind === "started" && task === `${id}.0.0.${index}`
    );
    assert.equal(starts.length, count);
});

Then("{int} submission is open", function(this: World, count: number) {
    const records = this.ids.map((each) => decodeRecord(this.world.store.get(submissionKey(each))?.text ?? ""));
    assert.equal(records.filter((record) => record?.kind === "open").length, count);
});
