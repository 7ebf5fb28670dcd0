import { createRandom, type Random } from "../random";
import { type StoreFault, workerFaults } from "../scheduling";
import type { Act, Schedule, StepPlan, SubmissionPlan } from "./schedule";

/** Submissions and faults begin within this time, in milliseconds. */
const eventfulMs = 12_000;

/** The first owner has read everything by now, in milliseconds. */
const startupMs = 300;

/** Acts of one burst begin within this time, in milliseconds: a takeover after a kill, and the new owner's first calls. */
const burstMs = 3000;

/** Longest time that a fault lasts, in milliseconds; a worker's longest lease and a takeover fit in. */
const maxFaultMs = 7000;

const storeFaults: readonly StoreFault[] = ["refused", "silent", "answerLost", "late"];

interface Parts {
    readonly random: Random;
    readonly workers: readonly string[];
    readonly submissions: readonly SubmissionPlan[];
}

/** The schedule of a seed. */
export function createSchedule(seed: number): Schedule {
    const random = createRandom(seed);
    const entries = random.int(2, 4);
    const workers = Array.from({ length: random.int(2, 6) }, (_, at) => `worker-${at + 1}`);
    const submissions = createSubmissions(random, workers.length);
    const parts = { random, workers, submissions };
    const bursts = Array.from({ length: random.int(1, 3) }, () => createBurst(parts)).flat();
    return {
        seed,
        entries,
        isBusy: random.chance(40),
        workers: new Map(workers.map((id) => [id, random.int(980, 1000) / 1000])),
        zones: new Map(),
        submissions,
        acts: [...bursts, ...createCancels(parts)].sort((a, b) => a.atMs - b.atMs),
    };
}

/** Numbers of its own for the evacuations, so that the rest of a seed's schedule stays as it is without them. */
const evacuationSeeds = 1_000_000;

const zoneNames = ["zone-a", "zone-b"] as const;

/** The schedule of a seed with workers in two availability zones, and evacuations that overlap its other acts. */
export function createEvacuationSchedule(seed: number): Schedule {
    const schedule = createSchedule(seed);
    const random = createRandom(evacuationSeeds + seed);
    const ids = [...schedule.workers.keys()];
    const evacuations = Array.from({ length: random.int(1, 3) }, (): Act => ({
        kind: "evacuate",
        atMs: random.int(startupMs, eventfulMs),
        forMs: random.int(maxFaultMs / 2, 2 * maxFaultMs),
        zone: random.pick(zoneNames),
    }));
    return {
        ...schedule,
        zones: new Map(ids.map((id, at) => [id, zoneNames[at % zoneNames.length] ?? ""])),
        acts: [...schedule.acts, ...evacuations].sort((a, b) => a.atMs - b.atMs),
    };
}

/** Tasks that last take a quarter of the room at most, one for each worker, so that all others find some. */
function createSubmissions(random: Random, maxLasting: number): readonly SubmissionPlan[] {
    const submissions: SubmissionPlan[] = [];
    const count = random.int(2, 7);
    let lasting = 0;
    while (submissions.length < count) {
        const steps = createSteps(random);
        lasting += steps[0]?.kind === "longRunning" ? steps[0].count : 0;
        submissions.push({
            id: (submissions.length + 1).toString(16).padStart(16, "0"),
            atMs: random.chance(50) ? startupMs : random.int(startupMs, eventfulMs),
            steps: lasting <= maxLasting ? steps : [createStep(random, "plain", [])],
        });
    }
    return submissions;
}

function createSteps(random: Random): readonly StepPlan[] {
    const steps = [createStep(random, random.pick(["plain", "plain", "speculative", "longRunning"]), [])];
    while (steps[0]?.kind !== "longRunning" && steps.length < 3 && random.chance(35)) {
        steps.push(createStep(random, random.pick(["plain", "plain", "speculative"]), [steps.length - 1]));
    }
    return steps;
}

function createStep(random: Random, kind: StepPlan["kind"], after: readonly number[]): StepPlan {
    const workMs = random.pick([100, 500, 2500, 6000, 6000]);
    return {
        kind,
        count: random.int(1, 4),
        workMs: kind === "longRunning" ? Number.POSITIVE_INFINITY : workMs,
        estimateMs: random.pick([workMs / 2, workMs, workMs * 2]),
        after,
    };
}

/** Acts that overlap. In half of the bursts workers fail and submissions are cancelled around a change of owners. */
function createBurst(parts: Parts): readonly Act[] {
    const { random, workers } = parts;
    const startMs = random.int(startupMs, eventfulMs);
    const soon = () => startMs + random.int(0, burstMs);
    const others = Array.from({ length: random.int(1, 4) }, () => createAct(parts, soon()));
    return random.chance(50)
        ? [
            createOwnerChange(random, startMs),
            createWorkerFault(random, workers, soon()),
            createCancel(parts, soon()),
            ...others,
        ]
        : others;
}

function createOwnerChange(random: Random, atMs: number): Act {
    const kind = random.pick(["kill", "stop", "freeze", "unfit"] as const);
    switch (kind) {
        case "kill":
        case "stop":
            return { kind, atMs, entry: "owner" };
        case "freeze":
            return { kind, atMs, entry: "owner", forMs: duration(random) };
        case "unfit":
            return { kind, atMs, forMs: duration(random) };
    }
}

function createAct(parts: Parts, atMs: number): Act {
    const { random, workers } = parts;
    const worker = pickWorker(random, workers);
    const forMs = duration(random);
    const entry = random.pick(["owner", "other"] as const);
    return random.pick<() => Act>([
        () => createCancel(parts, atMs),
        () => createCancel(parts, atMs),
        () => createWorkerFault(random, workers, atMs),
        () => createWorkerFault(random, workers, atMs),
        () => createWorkerFault(random, workers, atMs),
        () => ({ kind: "crash", atMs, worker, forMs, isUnlisted: random.chance(50) }),
        () => ({ kind: "unlist", atMs, worker, forMs }),
        () => ({ kind: "loseStarts", atMs, worker, count: random.int(1, 3) }),
        () => createStoreFault(random, atMs),
        () => createStoreFault(random, atMs),
        () => ({ kind: "slowStore", atMs, forMs, answerMs: random.int(50, 300) }),
        () => ({ kind: "forgetHistory", atMs }),
        () => ({ kind: "cutWatches", atMs }),
        () => ({ kind: "kill", atMs, entry }),
        () => ({ kind: "stop", atMs, entry }),
        () => ({ kind: "freeze", atMs, forMs, entry }),
        () => ({ kind: "cutPeer", atMs, forMs }),
        () => ({ kind: "freezePeers", atMs, forMs }),
        () => ({ kind: "addEntry", atMs }),
    ])();
}

function createWorkerFault(random: Random, workers: readonly string[], atMs: number): Act {
    const hit = random.chance(60) ? [pickWorker(random, workers)] : workers.filter(() => random.chance(60));
    return { kind: "workerFault", atMs, forMs: duration(random), workers: hit, fault: random.pick(workerFaults) };
}

/** The first workers more often: tasks gather on them. */
function pickWorker(random: Random, workers: readonly string[]): string {
    const [a, b] = [random.int(0, workers.length - 1), random.int(0, workers.length - 1)];
    return workers[Math.min(a, b)] ?? "";
}

function createCancel({ random, submissions }: Parts, atMs: number): Act {
    const { id, atMs: submittedAtMs } = random.pick(submissions);
    return { kind: "cancel", id, atMs: Math.max(atMs, submittedAtMs + 1) };
}

function createStoreFault(random: Random, atMs: number): Act {
    const of = random.pick(["owner", "owner", "other", "all"] as const);
    const isPausingLeases = of === "all" && random.chance(50);
    return { kind: "storeFault", atMs, forMs: duration(random), of, fault: random.pick(storeFaults), isPausingLeases };
}

function createCancels({ random, submissions }: Parts): readonly Act[] {
    return submissions.filter(() => random.chance(25)).map(({ id, atMs }) => ({
        kind: "cancel",
        id,
        atMs: atMs + random.int(50, 5000),
    }));
}

function duration(random: Random): number {
    return random.chance(40) ? random.int(100, 1500) : random.int(100, maxFaultMs);
}
