import type { Step, Submission } from "../../src/submissions";
import { createRandom, type Random } from "../../standins/random";
import { plainStep } from "../../standins/scheduling";
import type { ModelFleet } from "./drawFleet";

/** A submission of the model, with what only the model knows of it. */
export interface ModelSubmission {
    readonly submission: Submission;
    readonly atMs: number;
    /** True time of each task of each step near its data, in milliseconds. */
    readonly taskMs: readonly (readonly number[])[];
    readonly workCoreMs: number;
}

export const poolName = (pool: number): string => `pool-${pool + 1}`;

/** Part of its peak that a pool asks for outside of its turn. */
const calmShare = 0.04;

/** Standard deviation of the logarithm of a task's size, its time, and of how far declared times are off. */
const sizeSpread = 0.4;
const timeSpread = 0.4;
const declaredSpread = 0.3;

const meanSteps = 1.6;
const maxSteps = 4;
const meanWidth = 8;
const maxWidth = 32;
const memoryMbPerCore = 2000;

/** A turn rises to its peak and falls again over its length. */
function loadAt({ turns, turnMs, pools }: ModelFleet, pool: number, atMs: number): number {
    const place = (atMs / turnMs - pool + pools) % pools;
    switch (turns) {
        case "none":
            return 1 / pools;
        case "jump":
            return place < 1 ? 1 : calmShare;
        case "hat":
            return place < 1 ? Math.max(calmShare, Math.sin(Math.PI * place)) : calmShare;
    }
}

function logNormal(random: Random, mean: number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.real())) * Math.cos(2 * Math.PI * random.real());
    return mean * Math.exp(spread * normal - spread ** 2 / 2);
}

function countAround(random: Random, mean: number, most: number): number {
    return Math.max(1, Math.min(most, Math.round(logNormal(random, mean, sizeSpread))));
}

/** The share of all work that a client account sends: each has three quarters of the one before it. */
export function tenantShares({ tenants }: ModelFleet): readonly number[] {
    const weights = Array.from({ length: tenants }, (_, at) => 0.75 ** at);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map((weight) => weight / sum);
}

export const tenantName = (tenant: number): string => `tenant-${tenant + 1}`;

function drawTenant(fleet: ModelFleet, random: Random): string {
    let left = random.real();
    const at = tenantShares(fleet).findIndex((share) => (left -= share) < 0);
    return tenantName(Math.max(0, at));
}

function drawSubmission(fleet: ModelFleet, random: Random, pool: number, id: string, atMs: number): ModelSubmission {
    const steps: Step[] = [];
    const taskMs: number[][] = [];
    const stepCount = countAround(random, meanSteps, maxSteps);
    const isNear = random.real() < fleet.nearShare;
    const dataRack = isNear ? `rack-${random.int(1, fleet.zones * fleet.racksPerZone)}` : undefined;
    const machineMillis = fleet.cores * 1000;
    let workCoreMs = 0;
    for (let step = 0; step < stepCount; step++) {
        const count = countAround(random, meanWidth, maxWidth);
        const share = logNormal(random, fleet.taskShare, sizeSpread);
        const cpuMillis = Math.max(10, Math.min(machineMillis, Math.round(share * machineMillis)));
        const meanMs = logNormal(random, fleet.taskMs, timeSpread);
        const times = Array.from({ length: count }, () => Math.max(50, logNormal(random, meanMs, declaredSpread)));
        steps.push({
            ...plainStep,
            count,
            size: { cpuMillis, memoryMb: Math.round(cpuMillis / 1000 * memoryMbPerCore), accelerators: 0 },
            estimateMs: Math.round(logNormal(random, meanMs, declaredSpread)),
            after: step === 0 ? [] : [step - 1],
            dataRack,
        });
        taskMs.push(times);
        workCoreMs += times.reduce((sum, ms) => sum + ms, 0) * cpuMillis / 1000;
    }
    const submission = { ...toSubmission(id, pool, steps, atMs), tenant: drawTenant(fleet, random) };
    return { submission, atMs, taskMs, workCoreMs };
}

function toSubmission(id: string, pool: number, steps: readonly Step[], atMs: number): Submission {
    return {
        id,
        payload: "",
        steps,
        schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
        tenant: undefined,
        route: poolName(pool),
        service: poolName(pool),
        acceptedAtMs: atMs,
    };
}

/** Work of one submission of the fleet on the mean, in core-milliseconds. */
function meanWorkCoreMs(fleet: ModelFleet): number {
    return meanSteps * meanWidth * fleet.taskShare * fleet.cores * fleet.taskMs;
}

/** Tasks that last and serve on in one pool; they are there from the start. */
function drawLasting(fleet: ModelFleet, pool: number, id: string): ModelSubmission {
    const cpuMillis = Math.round(fleet.cores * 1000 * Math.min(0.15, fleet.taskShare));
    const step: Step = {
        ...plainStep,
        count: fleet.lastingTasks,
        size: { cpuMillis, memoryMb: Math.round(cpuMillis / 1000 * memoryMbPerCore), accelerators: 0 },
        estimateMs: 0,
        isLongRunning: true,
        maxPerWorker: fleet.lastingPerMachine,
        maxUnavailable: 1,
    };
    const times = Array.from({ length: step.count }, () => Number.POSITIVE_INFINITY);
    return { submission: toSubmission(id, pool, [step], 0), atMs: 0, taskMs: [times], workCoreMs: 0 };
}

/** All submissions of a day, in the order in which they come. */
export function createArrivals(fleet: ModelFleet, seed: number): readonly ModelSubmission[] {
    const random = createRandom(seed);
    const perMs = fleet.peakShare * fleet.machines * fleet.cores / meanWorkCoreMs(fleet);
    const arrivals: ModelSubmission[] = [];
    let number = 0;
    const nextId = () => (++number).toString(16).padStart(16, "0");
    for (let pool = 0; pool < fleet.pools; pool++) {
        if (fleet.lastingTasks > 0) {
            arrivals.push(drawLasting(fleet, pool, nextId()));
        }
        // A Poisson process of the peak's rate, thinned to the load of each moment.
        for (let atMs = 0; atMs < fleet.durationMs;) {
            atMs += -Math.log(1 - random.real()) / perMs;
            if (random.real() < loadAt(fleet, pool, atMs)) {
                arrivals.push(drawSubmission(fleet, random, pool, nextId(), atMs));
            }
        }
    }
    return arrivals.sort((a, b) => a.atMs - b.atMs);
}
