import { Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom, type Random } from "../../../standins/random";
import { listTasks, plainPolicy, plainRoute, plainStep } from "../../../standins/scheduling";
import type { Policy } from "../../policy";
import type { Step } from "../../submissions";
import { divideStarts } from "../divideStarts";
import {
    addDueOccurrences,
    addRun,
    addSubmission,
    createAccountLimits,
    createAccountShares,
    createDurationEstimates,
    createSchedulerState,
    createStartGate,
    createWorker,
    estimateRemaining,
    groupByPool,
    listStragglers,
    placeTask,
    planSpeculativeRuns,
    planStarts,
    queueOf,
    rankSubmissions,
    type Run,
    type SchedulerState,
    type StartsInFlight,
    type SubmissionEntry,
    targetAgeMs,
} from "../index";

interface World {
    state: SchedulerState;
    policy: Policy;
    speculative: readonly Run[];
    quotas: ReadonlyMap<string, number> | undefined;
    differences: string[];
}

const [nowMs, timeOfDayMs] = [10_000, 1_000_000];
const estimates = createDurationEstimates();
const splitList = (text: string): readonly string[] => text.split(",").map((part) => part.trim());

Before(function(this: World) {
    this.state = createSchedulerState();
    this.policy = { ...plainPolicy, queues: [], tenants: [] };
});

function addWorker({ state }: Pick<World, "state">, pool: string, cores: number): void {
    const id = `worker-${state.workers.size + 1}`;
    state.workers.set(id, {
        ...createWorker(id, 1),
        pool,
        zone: `zone-${state.workers.size % 3}`,
        capacity: { cpuMillis: cores * 1000, memoryMb: 1_000_000, accelerators: 0 },
        isRegistered: true,
        runList: { kind: "read", firstReadAtMs: 0, askedAtMs: 0 },
    });
}

function submit(
    world: Pick<World, "state">,
    tenant: string,
    opts: { readonly isExcess?: boolean; readonly ageMs?: number; readonly pool?: string; } & Partial<Step> = {},
): SubmissionEntry {
    const { isExcess = false, ageMs = 0, pool = "stalls", ...step } = opts;
    const submission = {
        id: `${tenant}-${world.state.submissions.size}`,
        payload: "",
        steps: [{ ...plainStep, ...step }],
        schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
        tenant,
        route: pool,
        service: pool,
        acceptedAtMs: timeOfDayMs - ageMs,
    };
    const entry = addSubmission(world.state, submission, 1, false, nowMs);
    entry.isExcess = isExcess;
    addDueOccurrences(entry, timeOfDayMs, nowMs);
    return entry;
}

function plan({ state, policy }: Pick<World, "state" | "policy">, maxStarts = 200, window?: StartsInFlight) {
    const allowedWorkers = () => undefined;
    const opts = { state, policy, estimates, nowMs, timeOfDayMs, allowedWorkers, maxStarts };
    return planStarts(window === undefined ? opts : { ...opts, window });
}

function rank({ state, policy }: Pick<World, "state" | "policy">): readonly SubmissionEntry[] {
    return rankSubmissions({
        entries: state.submissions.values(),
        queueOf: (submission) => queueOf(policy, submission),
        estimates,
        nowMs,
        timeOfDayMs,
        shareOf: createAccountShares(state, policy),
    }).map(({ entry }) => entry);
}

function countStarted(world: World, isCounted: (entry: SubmissionEntry) => boolean): number {
    return [...world.state.submissions.values()].filter(isCounted).reduce(
        (sum, entry) => sum + listTasks(entry).filter(({ runs }) => runs.length > 0).length,
        0,
    );
}

Given("pool {string} with {int} core(s)", function(this: World, pool: string, cores: number) {
    addWorker(this, pool, cores);
    this.policy = { ...this.policy, queues: [...this.policy.queues, { ...plainRoute, name: pool, service: pool }] };
});

Given("accounts {string} with {int} submissions each, of which {int} are excess", function(
    this: World,
    accounts: string,
    count: number,
    excess: number,
) {
    for (const account of splitList(accounts)) {
        Array.from({ length: count }, (_, at) => submit(this, account, { isExcess: at < excess }));
    }
});

Given("{int} accounts with 1 submission each", function(this: World, count: number) {
    Array.from({ length: count }, (_, at) => submit(this, `light-${at}`));
});

Given(/^an? (excess|conforming) submission of "(.+)" that came (just now|\d+ ms ago)$/, function(
    this: World,
    kind: string,
    account: string,
    age: string,
) {
    submit(this, account, { isExcess: kind === "excess", ageMs: age === "just now" ? 0 : Number.parseInt(age) });
});

Given(/^an? (excess|conforming) submission of "(.+)" that allows speculative runs$/, function(
    this: World,
    kind: string,
    account: string,
) {
    submit(this, account, { isExcess: kind === "excess", isSpeculative: true });
});

Given("account {string} with weight {int} uses {int} cores", function(
    this: World,
    name: string,
    weight: number,
    cores: number,
) {
    const cap = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    this.policy = { ...this.policy, tenants: [...this.policy.tenants, { name, keys: [], weight, cap }] };
    this.state.tenantUse.set(name, { cpuMillis: cores * 1000, memoryMb: 0, accelerators: 0 });
});

Given("a backlog of {int} tasks in {string}", function(this: World, count: number, pool: string) {
    for (let at = 0; at < count; at += 5) {
        submit(this, pool, { pool, count: 5 });
    }
});

When("a round is planned", function(this: World) {
    plan(this);
});

When("a round is planned with {int} of {int} starts free and {int} in flight in {string}", function(
    this: World,
    freeStarts: number,
    sizeStarts: number,
    inFlight: number,
    pool: string,
) {
    plan(this, freeStarts, { sizeStarts, inFlightByPool: new Map([[pool, inFlight]]) });
});

When("both have run for 5000 ms and 1 core is free on another worker", function(this: World) {
    plan(this).forEach((run) => {
        run.phase = "running";
    });
    addWorker(this, "stalls", 1);
    const { state, policy } = this;
    const later = { state, policy, estimates, nowMs: nowMs + 5000 };
    const limits = createAccountLimits();
    limits.applyPolicy(policy);
    const gate = createStartGate({
        ...later,
        allowedWorkers: () => undefined,
        capOf: limits.capOf,
        maxStarts: 200,
    });
    this.speculative = planSpeculativeRuns(listStragglers(later), {
        gate,
        policy,
        workersOf: (pool) => groupByPool(state).get(pool) ?? [],
    });
});

When(/^(\d+) of (\d+) starts are divided with (.+) in flight and (.+) waiting$/, function(
    this: World,
    free: string,
    size: string,
    inFlight: string,
    waiting: string,
) {
    const toMap = (text: string) => new Map(splitList(text).map((count, at) => [`pool-${at}`, Number(count)]));
    this.quotas = divideStarts({
        freeStarts: Number(free),
        windowStarts: Number(size),
        inFlightByPool: toMap(inFlight),
        waitingByPool: toMap(waiting),
    });
});

Then(/^the quotas are (.+)$/, function(this: World, quotas: string) {
    const found = this.quotas === undefined
        ? "none"
        : [...this.quotas].sort(([a], [b]) => a.localeCompare(b)).map(([, quota]) => quota).join(", ");
    assert.equal(found, quotas);
});

Then("all {int} conforming submissions have started", function(this: World, count: number) {
    assert.equal(countStarted(this, ({ isExcess }) => !isExcess), count);
});

Then("{int} excess submissions have started", function(this: World, count: number) {
    assert.equal(countStarted(this, ({ isExcess }) => isExcess), count);
});

Then("{int} tasks of {string} and {int} tasks of {string} have started", function(
    this: World,
    count: number,
    pool: string,
    otherCount: number,
    otherPool: string,
) {
    const started = [pool, otherPool].map((name) => countStarted(this, ({ submission }) => submission.route === name));
    assert.deepEqual(started, [count, otherCount]);
});

Then("{string} ranks first", function(this: World, account: string) {
    assert.equal(rank(this)[0]?.submission.tenant, account);
});

Then("the speculative run is of {string}", function(this: World, account: string) {
    assert.deepEqual(this.speculative.map(({ task }) => task.entry.submission.tenant), [account]);
});

const randomPools = ["north", "south", "west"];

function createRandomState(random: Random): Pick<World, "state" | "policy"> {
    const queues = randomPools.map((name) => ({
        ...plainRoute,
        name,
        service: name,
        priority: random.int(0, 2),
        targetLatencyMs: random.int(0, 2000),
    }));
    const world = { state: createSchedulerState(), policy: { ...plainPolicy, queues } };
    Array.from({ length: random.int(1, 9) }, () => addWorker(world, random.pick(randomPools), random.int(1, 8)));
    // At most 20 submissions of 9 tasks: the 200 starts of a round suffice.
    for (let at = random.int(1, 20); at > 0; at--) {
        submit(world, `account-${random.int(0, 4)}`, {
            pool: random.pick(randomPools),
            ageMs: random.int(0, 40_000),
            count: random.int(1, 9),
            estimateMs: random.int(100, 3000),
            isLongRunning: random.chance(10),
            size: { cpuMillis: random.int(200, 3000), memoryMb: 100, accelerators: 0 },
        });
    }
    return world;
}

/** The order before submissions were classified. */
function rankAsBefore({ state, policy }: Pick<World, "state" | "policy">): readonly SubmissionEntry[] {
    const keysOf = (entry: SubmissionEntry): readonly [number, number, number] => {
        const queue = queueOf(policy, entry.submission);
        if (entry.submission.steps.some(({ isLongRunning }) => isLongRunning)) {
            return [0, queue.priority, 0];
        }
        const remaining = estimateRemaining(entry, estimates, nowMs);
        const ageMs = timeOfDayMs - entry.submission.acceptedAtMs;
        const isInTime = ageMs + remaining.criticalPathMs <= targetAgeMs(queue, remaining);
        return [isInTime || ageMs > 30_000 ? 1 : 2, queue.priority, remaining.workCoreMs];
    };
    return [...state.submissions.values()].map((entry) => ({ entry, keys: keysOf(entry) }))
        .sort(({ keys: a }, { keys: b }) => a[0] - b[0] || a[1] - b[1] || a[2] - b[2])
        .map(({ entry }) => entry);
}

/** Plans in rank order alone, as before starts were divided. */
function planAsBefore(world: Pick<World, "state" | "policy">): readonly Run[] {
    const started: Run[] = [];
    const failures = new Map<string, number>();
    for (const entry of rankAsBefore(world)) {
        const { service } = entry.submission;
        for (const task of listTasks(entry)) {
            const workers = groupByPool(world.state).get(service) ?? [];
            if (workers.length === 0 || (failures.get(service) ?? 0) > 40) {
                break;
            }
            const worker = placeTask(task, { workers, nowMs });
            if (worker === undefined) {
                failures.set(service, (failures.get(service) ?? 0) + 1);
            }
            else {
                started.push(addRun(world.state, task, worker, 1, "recording", nowMs));
            }
        }
    }
    return started;
}

When("{int} random states without excess submissions are ranked and planned", function(this: World, count: number) {
    this.differences = [];
    const describeRuns = (runs: readonly Run[]) => runs.map(({ task, worker }) => `${task.name}@${worker.id}`).join();
    const describeOrder = (entries: readonly SubmissionEntry[]) => entries.map(({ submission: { id } }) => id).join();
    for (let seed = 1; seed <= count; seed++) {
        const [first, second] = [createRandomState(createRandom(seed)), createRandomState(createRandom(seed))];
        const isSame = describeOrder(rank(first)) === describeOrder(rankAsBefore(first))
            && describeRuns(plan(first)) === describeRuns(planAsBefore(second));
        if (!isSame) {
            this.differences.push(`seed ${seed}`);
        }
    }
});

Then("each order and each plan is the one of before", function(this: World) {
    assert.deepEqual(this.differences, []);
});
