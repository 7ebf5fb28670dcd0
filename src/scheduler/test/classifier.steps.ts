import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type Clock, installClock } from "../../../standins/dispatch";
import { plainPolicy, plainSubmission } from "../../../standins/scheduling";
import { createAccountRates } from "../../fairness";
import type { LogEvent } from "../../logging";
import { createDemandMeter } from "../../machines";
import type { Policy } from "../../policy";
import {
    createAccountLimits,
    createDurationEstimates,
    createSchedulerState,
    createWorker,
    type SchedulerState,
} from "../../schedule";
import { encodeRecord, submissionKey, type SubmissionRecord } from "../../submissions";
import { createSubmissionClassifier, type SubmissionClassifier } from "../createSubmissionClassifier";
import { createSubmissionTracker, type SubmissionTracker } from "../createSubmissionTracker";

interface World {
    clock: Clock;
    trackedState: SchedulerState;
    appliedPolicy: Policy | undefined;
    tracker: SubmissionTracker;
    classifier: SubmissionClassifier;
    log: LogEvent[];
    recordCount: number;
}

Before({ tags: "@classifier" }, function(this: World) {
    this.clock = installClock();
    this.trackedState = createSchedulerState();
    this.appliedPolicy = undefined;
    this.log = [];
    this.recordCount = 0;
    const report = (event: LogEvent) => void this.log.push(event);
    const steadyMs = () => performance.now();
    this.classifier = createSubmissionClassifier({
        rates: createAccountRates(),
        serviceShares: this.trackedState.serviceShares,
        policy: () => this.appliedPolicy,
        report,
        steadyMs,
    });
    this.tracker = createSubmissionTracker({
        state: this.trackedState,
        estimates: createDurationEstimates(),
        meter: createDemandMeter(1000),
        classifier: this.classifier,
        policy: () => this.appliedPolicy,
        limits: createAccountLimits(),
        report,
        steadyMs,
        remainingRunMs: 12_000,
        stop() {},
        findWorker: (id, bornMs) => createWorker(id, bornMs),
        save() {},
    });
});

After({ tags: "@classifier" }, function(this: World) {
    this.clock.uninstall();
});

function read(world: World, id: string, record: SubmissionRecord): void {
    const key = submissionKey(id);
    world.tracker.handleRecord(key, { key, text: encodeRecord(record), revision: ++world.recordCount });
}

function readOpen(world: World, tenant: string, count: number, intervalMs = 0, isCancelled = false): void {
    for (let at = 0; at < count; at++) {
        const id = `s${world.recordCount}`;
        const submission = { ...plainSubmission(id), tenant, acceptedAtMs: Date.now() - at * intervalMs };
        read(world, id, { kind: "open", submission, isCancelled });
    }
    world.classifier.classify();
}

function readEnded(world: World, count: number, origin: { readonly tenant?: string; readonly acceptedAtMs?: number; }) {
    for (let at = 0; at < count; at++) {
        const final = { kind: "final", route: "stalls", state: "complete", endedAtMs: Date.now() } as const;
        read(world, `s${world.recordCount}`, { ...final, ...origin });
    }
}

Given("the configuration gives {string} a weight of {int}", function(this: World, name: string, weight: number) {
    const cap = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    const version = (this.appliedPolicy?.version ?? 0) + 1;
    this.appliedPolicy = { ...plainPolicy, version, tenants: [{ name, keys: [], weight, cap }] };
    this.classifier.classify();
});

When(
    "{int} open submissions of {string} are read at once, accepted {int} ms apart, the newest first",
    function(this: World, count: number, tenant: string, intervalMs: number) {
        readOpen(this, tenant, count, intervalMs);
    },
);

When("{int} open submissions of {string} are read", function(this: World, count: number, tenant: string) {
    readOpen(this, tenant, count);
});

When("{int} cancelled submissions of {string} are read", function(this: World, count: number, tenant: string) {
    readOpen(this, tenant, count, 0, true);
});

When(
    "{int} records of submissions of {string} that have ended are read",
    function(this: World, count: number, tenant: string) {
        readEnded(this, count, { tenant, acceptedAtMs: Date.now() });
    },
);

When("{int} records of ended submissions without an account are read", function(this: World, count: number) {
    readEnded(this, count, {});
});

When("their final records are read", function(this: World) {
    for (const { submission: { id, tenant, acceptedAtMs, route } } of this.trackedState.submissions.values()) {
        read(this, id, { kind: "final", route, state: "complete", endedAtMs: Date.now(), tenant, acceptedAtMs });
    }
    this.classifier.classify();
});

When("{int} ms pass", async function(this: World, ms: number) {
    for (let at = 0; at < ms; at += 100) {
        await this.clock.advance(100);
        this.classifier.tick();
    }
});

Then("{int} submissions are excess", function(this: World, count: number) {
    assert.equal([...this.trackedState.submissions.values()].filter(({ isExcess }) => isExcess).length, count);
});

Then("{int} submissions have been reported as taken", function(this: World, count: number) {
    assert.equal(this.log.filter((event) => event.kind === "submission" && event.change === "taken").length, count);
});

Then("the reports on rates are {string}", function(this: World, expected: string) {
    const reports = this.log.flatMap((event) =>
        event.kind === "accountRate" ? [`${event.account} ${event.accepted} ${event.excess} ${event.tokens}`] : []
    );
    assert.equal(reports.join(), expected);
});
