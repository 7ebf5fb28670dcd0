import type { Shares, SharesOptions } from "../../src/shares";
import type { Experiment, ExperimentRow } from "../experiment";
import { createArrivalOrder, createRoundRobin } from "./baselines";
import { type BurstResult, simulateBursts } from "./simulateBursts";
import { type UserSize, userSizes } from "./userSizes";

interface Way {
    readonly name: string;
    readonly createShares?: (opts: SharesOptions) => Shares;
}

const ways: readonly Way[] = [
    { name: "samphirepin" },
    { name: "first come, first served", createShares: createArrivalOrder },
    { name: "round robin by entry", createShares: createRoundRobin },
];
const settledMs = 2000;
const entries = 9;
const urgentAimMs = 1500;

export const sharesExperiment: Experiment = {
    name: "shares",
    description:
        "slots with the wrong team as a part of the fleet, under rotating bursts; aim: within 2% two seconds after demand changes (mean of one second)",
    async run({ seed, isQuick }) {
        const rows: ExperimentRow[] = [];
        for (const size of userSizes) {
            for (const way of ways) {
                rows.push(await measure(size, way, seed, isQuick ? 2 : 5));
            }
        }
        return rows;
    },
};

async function measure(size: UserSize, way: Way, seed: number, bursts: number): Promise<ExperimentRow> {
    const durationMs = size.burstMs * bursts;
    const { createShares } = way;
    const chosen = createShares === undefined ? {} : { createShares };
    const result = await simulateBursts({ size, seed, durationMs, burstLoad: 2, ...chosen });
    const settled = result.samples.filter(({ sinceChangeMs }) => sinceChangeMs >= settledMs);
    const urgent = result.urgentStartMs;
    return {
        setting: size.name,
        way: way.name,
        figures: {
            tasks: result.tasks,
            meanErrorP50Percent: percent(settled.map(({ meanError }) => meanError), 0.5),
            meanErrorP99Percent: percent(settled.map(({ meanError }) => meanError), 0.99),
            momentErrorP50Percent: percent(settled.map(({ error }) => error), 0.5),
            momentErrorP99Percent: percent(settled.map(({ error }) => error), 0.99),
            poolInUseP50Percent: percent(settled.map(({ inUse }) => inUse), 0.5),
            urgentTasks: urgent.length,
            urgentStartP99Ms: quantile(urgent, 0.99),
            urgentStartMaxMs: quantile(urgent, 1),
            urgentLatePercent: percent(
                [urgent.filter((ms) => ms > urgentAimMs).length / Math.max(1, urgent.length)],
                0,
            ),
            ...countMessages(result, durationMs),
        },
        curves: [{
            name: "slots with the wrong team, percent of the fleet",
            points: result.samples.map(({ atMs, meanError }) => [atMs / 1000, meanError * 100] as const),
        }],
    };
}

function countMessages({ messages }: BurstResult, durationMs: number) {
    const perSecond = (topic: string, pick: "count" | "bytes") =>
        round((messages.get(topic)?.[pick] ?? 0) / (durationMs / 1000) / entries);
    return {
        reportsPerEntryPerSecond: perSecond("shares", "count"),
        reportBytesPerEntryPerSecond: perSecond("shares", "bytes"),
        offersPerEntryPerSecond: perSecond("dispatch.offer", "count"),
        offerBytesPerEntryPerSecond: perSecond("dispatch.offer", "bytes"),
    };
}

function quantile(numbers: readonly number[], part: number): number {
    const sorted = [...numbers].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

function percent(parts: readonly number[], part: number): number {
    return round(quantile(parts, part) * 100);
}

function round(number: number): number {
    return Math.round(number * 100) / 100;
}
