import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { listTasks, plainPolicy, plainStep } from "../../../standins/scheduling";
import type { Policy } from "../../policy";
import type { Step, Submission } from "../../submissions";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createAccountLimits,
    createDurationEstimates,
    createSchedulerState,
    createStartGate,
    createWorker,
    groupByPool,
    listStragglers,
    type PlanOptions,
    planSpeculativeRuns,
    planStarts,
    recordFailure,
    type SchedulerState,
    type SubmissionEntry,
    type Worker,
} from "../index";

export interface World {
    state: SchedulerState;
    policy: Policy;
    entries: Map<string, SubmissionEntry>;
    nowMs: number;
    /** Most failed placements of forbidden submissions in one round. */
    maxFailures: number;
    /** Longest value that the store takes. */
    maxValueBytes: number;
    longestRoundMs: number;
}

const timeOfDayMs = 1_000_000;

Before(function(this: World) {
    this.state = createSchedulerState();
    this.policy = plainPolicy;
    this.entries = new Map();
    this.nowMs = 10_000;
    this.maxFailures = 0;
    this.maxValueBytes = Number.POSITIVE_INFINITY;
    this.longestRoundMs = 0;
});

export function addWorker(world: World, cores: number): Worker {
    const id = `worker-${world.state.workers.size + 1}`;
    const worker: Worker = {
        ...createWorker(id, 1),
        address: id,
        pool: "stalls",
        zone: "zone-a",
        rack: "r1",
        capacity: { cpuMillis: cores * 1000, memoryMb: 64_000, accelerators: 0 },
        isRegistered: true,
        runList: { kind: "read", firstReadAtMs: 0, askedAtMs: 0 },
    };
    world.state.workers.set(id, worker);
    return worker;
}

export function submit(
    world: World,
    name: string,
    step: Partial<Step>,
    ageMs = 0,
    opts: Partial<Pick<Submission, "tenant" | "route" | "service">> = {},
): SubmissionEntry {
    const submission = {
        id: name,
        payload: "",
        steps: [{ ...plainStep, ...step }],
        schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
        tenant: "giza",
        route: "stalls",
        service: "stalls",
        acceptedAtMs: timeOfDayMs - ageMs,
        ...opts,
    };
    const entry = addSubmission(world.state, submission, 1, false, world.nowMs);
    addDueOccurrences(entry, timeOfDayMs, world.nowMs);
    world.entries.set(name, entry);
    return entry;
}

export function workerOf(world: World, number: number): Worker {
    const worker = world.state.workers.get(`worker-${number}`);
    assert.ok(worker);
    return worker;
}

Given("a worker with {int} core(s)", function(this: World, cores: number) {
    addWorker(this, cores);
});

Given("{int} workers with {int} cores", function(this: World, count: number, cores: number) {
    Array.from({ length: count }, () => addWorker(this, cores));
});

Given(
    "{int} worker(s) with {int} cores in each of {int} zones",
    function(this: World, count: number, cores: number, zones: number) {
        // Consecutive workers are in different zones, because machines of any zone may join a pool.
        for (let at = 0; at < count * zones; at++) {
            addWorker(this, cores).zone = `zone-${at % zones}`;
        }
    },
);

Given("{int} submissions of {int} tasks", function(this: World, count: number, tasks: number) {
    Array.from({ length: count }, (_, at) => submit(this, `many-${at}`, { count: tasks }));
});

Then("tasks of all have started", function(this: World) {
    for (const entry of this.entries.values()) {
        assert.ok(listTasks(entry).every(({ runs }) => runs.length === 1));
    }
});

Then("each zone holds tasks of at most {int} submissions", function(this: World, most: number) {
    const entriesByZone = new Map<string, Set<SubmissionEntry>>();
    for (const { zone, runs } of this.state.workers.values()) {
        runs.forEach(({ task }) => entriesByZone.set(zone, (entriesByZone.get(zone) ?? new Set()).add(task.entry)));
    }
    entriesByZone.forEach((entries, zone) => assert.ok(entries.size <= most, `${zone}: ${entries.size}`));
});

When("a long-running submission {string} of {int} tasks comes", function(this: World, name: string, count: number) {
    submit(this, name, { count, isLongRunning: true });
});

Given("the tenant may have {int} cores", function(this: World, cores: number) {
    const cap = { cpuMillis: cores * 1000, memoryMb: 0, accelerators: 0 };
    this.policy = { ...plainPolicy, tenants: plainPolicy.tenants.map((tenant) => ({ ...tenant, cap })) };
});

Given("a submission {string} of {int} task(s) that came just now", function(this: World, name: string, count: number) {
    submit(this, name, { count });
});

Given(
    "a submission {string} of {int} task(s) that came {int} ms ago",
    function(this: World, name: string, count: number, ageMs: number) {
        submit(this, name, { count }, ageMs);
    },
);

Given("a gang {string} of {int} tasks that came just now", function(this: World, name: string, count: number) {
    submit(this, name, { count, isGang: true });
});

Given(
    "a submission {string} of {int} tasks with one on each worker",
    function(this: World, name: string, count: number) {
        submit(this, name, { count, maxPerWorker: 1 });
    },
);

Given(
    "a submission {string} of {int} tasks that allow speculative runs",
    function(this: World, name: string, count: number) {
        submit(this, name, { count, isSpeculative: true });
    },
);

Given("worker {int} runs a long-running task", function(this: World, number: number) {
    const entry = submit(this, "lasting", { isLongRunning: true });
    const [task] = listTasks(entry);
    assert.ok(task);
    addRun(this.state, task, workerOf(this, number), 1, "running", this.nowMs);
});

Given("tasks of {int} submission(s) have failed on worker {int}", function(this: World, count: number, number: number) {
    for (let at = 0; at < count; at++) {
        recordFailure(workerOf(this, number), `failing-${at}`, this.nowMs);
    }
});

Then("with {int} submissions waiting for a full pool, {int} placement(s) is/are tried in a round", function(
    this: World,
    count: number,
    expected: number,
) {
    Array.from({ length: count }, (_, at) => submit(this, `waiting-${at}`, { count: 8 }));
    let attempts = 0;
    plan(this, () => {
        attempts++;
        return undefined;
    });
    assert.equal(attempts, expected);
});

export function plan(
    world: World,
    allowedWorkers: PlanOptions["allowedWorkers"] = () => undefined,
    maxStarts = 200,
): void {
    const startedAtMs = performance.now();
    planStarts({
        state: world.state,
        policy: world.policy,
        estimates: createDurationEstimates(),
        nowMs: world.nowMs,
        timeOfDayMs,
        allowedWorkers,
        maxStarts,
        maxValueBytes: world.maxValueBytes,
    });
    world.longestRoundMs = Math.max(world.longestRoundMs, performance.now() - startedAtMs);
}

When("starts are planned", function(this: World) {
    plan(this);
});

When("{int} starts are planned", function(this: World, maxStarts: number) {
    plan(this, undefined, maxStarts);
});

function speculate(
    world: World,
    ms: number,
    { maxStarts = 200, allowed }: { maxStarts?: number; allowed?: ReadonlySet<string>; } = {},
): void {
    world.nowMs += ms;
    const { state, policy, nowMs } = world;
    for (const { runs } of state.workers.values()) {
        runs.forEach((run) => run.phase = "running");
    }
    const limits = createAccountLimits();
    limits.applyPolicy(policy);
    const gate = createStartGate({
        state,
        nowMs,
        allowedWorkers: () => allowed,
        capOf: limits.capOf,
        maxStarts,
    });
    const stragglers = listStragglers({ state, policy, estimates: createDurationEstimates(), nowMs });
    planSpeculativeRuns(stragglers, { gate, policy, workersOf: (pool) => groupByPool(state).get(pool) ?? [] });
}

When("{int} ms later speculative runs are planned", function(this: World, ms: number) {
    speculate(this, ms);
});

When("{int} ms later speculative runs are planned with {int} start(s) left", function(
    this: World,
    ms: number,
    maxStarts: number,
) {
    speculate(this, ms, { maxStarts });
});

When("{int} ms later speculative runs are planned without an answer of the advice service", function(
    this: World,
    ms: number,
) {
    speculate(this, ms, { allowed: new Set() });
});

When("{int} ms later speculative runs are planned with a permit for worker {int}", function(
    this: World,
    ms: number,
    number: number,
) {
    speculate(this, ms, { allowed: new Set([workerOf(this, number).id]) });
});

When("worker {int} becomes unreachable", function(this: World, number: number) {
    workerOf(this, number).isReachable = false;
});

Then("tasks of {string} have started: {int}", function(this: World, name: string, count: number) {
    const entry = this.entries.get(name);
    assert.ok(entry);
    assert.equal(listTasks(entry).reduce((sum, { runs }) => sum + runs.length, 0), count);
});

Then("worker {int} is empty", function(this: World, number: number) {
    assert.equal(workerOf(this, number).runs.size, 0);
});

Then("no worker has two runs of a task", function(this: World) {
    for (const { runs } of this.state.workers.values()) {
        const names = [...runs].map(({ task }) => task.name);
        assert.equal(new Set(names).size, names.length);
    }
});
