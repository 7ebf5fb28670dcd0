import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { listTasks, plainSubmission } from "../../../standins/scheduling";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createSchedulerState,
    createWorker,
    type Run,
    type Worker,
} from "../../schedule";
import { createRunControl, type RunControl, type WorkerApi } from "../index";

interface World {
    control: RunControl;
    stoppedRun: Run;
    stoppedWorker: Worker;
    mayInterrupt: boolean;
    sentStops: number;
}

Given("a run whose interruption has had no answer", async function(this: World) {
    this.mayInterrupt = true;
    this.sentStops = 0;
    const api: Partial<WorkerApi> = {
        stop: () => {
            this.sentStops++;
            return Promise.resolve({ kind: "noAnswer", detail: "" });
        },
    };
    this.control = createRunControl({
        api: api as WorkerApi,
        tenure: {
            token: 1,
            condition: { key: "", revision: 1 },
            isValid: () => true,
            mayInterrupt: () => this.mayInterrupt,
        },
        clocks: { monotonicMs: () => 1000, suspendAwareMs: () => 1000 },
        report() {},
        drop() {},
        onFenced() {},
        onIncarnationEnded() {},
        findTicket: () => undefined,
        pollNow() {},
        onStartAnswered() {},
        onChange() {},
    });
    const state = createSchedulerState();
    this.stoppedWorker = createWorker("worker-1", 1);
    const entry = addSubmission(state, plainSubmission("0000000000000001"), 1, false, 0);
    addDueOccurrences(entry, Date.now(), 0);
    const [task] = listTasks(entry);
    assert.ok(task);
    this.stoppedRun = addRun(state, task, this.stoppedWorker, 1, "running", 0);
    this.control.interrupt(this.stoppedRun, "its machine is due for maintenance");
    await new Promise((resolve) => setImmediate(resolve));
});

When("the leader may not interrupt tasks any more", function(this: World) {
    this.mayInterrupt = false;
});

When("unanswered stops are sent again", function(this: World) {
    this.control.sendStops(this.stoppedWorker);
});

When("the run's submission is cancelled", function(this: World) {
    this.control.stop(this.stoppedRun, "its submission is cancelled");
});

Then("{int} stop(s) has/have been sent", function(this: World, count: number) {
    assert.equal(this.sentStops, count);
});
