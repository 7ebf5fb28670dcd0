import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Limits } from "../../src/limits";
import type { Curve, Figures } from "../experiment";
import { createLimitsWorld, type LimitsEntryPorts, type LimitsWorld, type WorldTask } from "./limitsWorld";

export interface BurstOptions {
    readonly seed: number;
    readonly seconds: number;
    /** Processors of a typical task. */
    readonly processors: number;
    readonly delayMs: number;
    /** Part of a burst that arrives in one zone, in percent; the rest is spread over all entries. */
    readonly oneZonePercent: number;
    readonly createLimits?: (ports: LimitsEntryPorts) => Limits;
}

/** Upper limits of the six accounts, in tasks; a few of them large, 280 slots in the fleet. */
const limitTasks = [100, 80, 60, 30, 20, 10];
const entriesCount = 9;
const zonesCount = 3;
const stepMs = 20;
const burstMs = 4000;
const runMs = 200;
/** Demand in a burst, and in between, as parts of the limit; a burst is five times the mean. */
const burstLoad = 1.1;
const idleLoad = burstLoad / 5 / 20;
const deadlineMs = 1500;
const warmUpMs = 3000;

interface Sent {
    readonly task: WorldTask;
    readonly entry: number;
    /** True where the fleet had room in the limit on arrival. */
    readonly hadRoom: boolean;
    isRefused: boolean;
}

/** Rotating bursts of five times the mean: stranded room, waits, refusals, and calls to the platform. */
export async function measureBursts(opts: BurstOptions): Promise<{ figures: Figures; curves: readonly Curve[]; }> {
    const world = createLimitsWorld({
        delayMs: opts.delayMs,
        ...opts.createLimits === undefined ? {} : { createLimits: opts.createLimits },
    });
    try {
        Array.from({ length: entriesCount }, (_, at) => world.startEntry(`zone-${at % zonesCount}`));
        limitTasks.forEach((tasks, at) =>
            world.setTeam(teamName(at), {
                tasks,
                processors: tasks * opts.processors,
                memoryMb: tasks * 4000,
                accelerators: 0,
            })
        );
        await world.clock.tickAsync(warmUpMs);
        return await runBursts(world, opts);
    }
    finally {
        world.close();
    }
}

async function runBursts(world: LimitsWorld, opts: BurstOptions) {
    const random = xoroshiro128plus(opts.seed);
    const pick = (most: number) => uniformInt(random, 0, most - 1);
    const sent: Sent[] = [];
    const stranded: number[] = [];
    const points: [number, number][] = [];
    const callsBefore = { ...world.platform.calls };
    for (let step = 0; step < opts.seconds * 1000 / stepMs; step++) {
        const nowMs = step * stepMs;
        const bursting = Math.floor(nowMs / burstMs) % limitTasks.length;
        limitTasks.forEach((tasks, team) => {
            const load = team === bursting ? burstLoad : idleLoad;
            const expected = tasks * load * stepMs / runMs;
            const count = Math.floor(expected) + (pick(10_000) < expected % 1 * 10_000 ? 1 : 0);
            for (let at = 0; at < count; at++) {
                sent.push(submit(world, opts, team, bursting, pick, sent.length));
            }
        });
        await world.clock.tickAsync(stepMs);
        refuseLate(world, sent);
        const part = strandedPart(world);
        if (part !== undefined) {
            stranded.push(part);
            points.push([nowMs / 1000, part * 100]);
        }
    }
    const calls = world.platform.calls;
    const waits = sent.filter(({ hadRoom, task }) => hadRoom && task.startedAtMs !== undefined)
        .map(({ task }) => (task.startedAtMs ?? 0) - task.arrivedAtMs).sort((a, b) => a - b);
    const figures = {
        strandedPercentMean: round(100 * mean(stranded)),
        roomMovedP50Ms: percentile(waits, 0.5),
        roomMovedP99Ms: percentile(waits, 0.99),
        roomMovedMaxMs: waits.at(-1) ?? 0,
        tasks: sent.length,
        refusedPercent: round(100 * sent.filter(({ isRefused }) => isRefused).length / sent.length),
        platformReadsPerSecond: round((calls.read - callsBefore.read) / opts.seconds),
        platformWritesPerSecond: round((calls.write - callsBefore.write) / opts.seconds),
        limitsPassed: world.judge.broken.length,
    };
    return { figures, curves: [{ name: "stranded room, percent", points }] };
}

function submit(
    world: LimitsWorld,
    opts: BurstOptions,
    team: number,
    bursting: number,
    pick: (most: number) => number,
    number: number,
): Sent {
    const isOneZone = pick(100) < opts.oneZonePercent;
    const zone = bursting % zonesCount;
    const entry = isOneZone ? zone + zonesCount * pick(entriesCount / zonesCount) : pick(entriesCount);
    const hadRoom = world.judge.runningOf(teamName(team)).tasks < (limitTasks[team] ?? 0);
    const size = { processors: opts.processors, memoryMb: 4000, accelerators: 0 };
    const task = world.entries[entry]!.submit({
        id: `task-${number}`,
        team: teamName(team),
        size,
        runMs: runMs / 2 + pick(runMs),
    });
    return { task, entry, hadRoom, isRefused: false };
}

function refuseLate(world: LimitsWorld, sent: readonly Sent[]): void {
    const late = Date.now() - deadlineMs;
    for (const { queue } of world.entries) {
        while (queue[0] !== undefined && queue[0].arrivedAtMs < late) {
            const task = queue.shift();
            const found = sent.find((each) => each.task === task);
            if (found !== undefined) {
                found.isRefused = true;
            }
        }
    }
}

/** Room that no task uses while tasks of the team wait, as a part of the limit, over the teams with waiting tasks. */
function strandedPart(world: LimitsWorld): number | undefined {
    const parts = limitTasks.flatMap((tasks, at) => {
        const waiting = world.entries.flatMap(({ queue }) => queue).filter(({ team }) => team === teamName(at)).length;
        const free = tasks - world.judge.runningOf(teamName(at)).tasks;
        return waiting === 0 ? [] : [Math.min(waiting, free) / tasks];
    });
    return parts.length === 0 ? undefined : mean(parts);
}

function teamName(at: number): string {
    return `account-${at + 1}`;
}

function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function percentile(sorted: readonly number[], part: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
