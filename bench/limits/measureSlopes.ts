import { Packr } from "msgpackr";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Figures } from "../experiment";
import { createLimitsWorld } from "./limitsWorld";

export interface SlopeOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly teams: number;
    readonly entries: number;
}

const stepMs = 100;
const limit = { tasks: 72, processors: 288, memoryMb: 288_000, accelerators: 0 };
/** One team in ten bursts at one entry, and another one after this long. */
const burstMs = 2000;
const burstTasks = 24;
/** Until what all entries hold after they have started is spread evenly. */
const warmUpMs = 15_000;

/** Bytes of the ledgers, and messages and processor time for each entry, while room moves for a tenth of the teams. */
export async function measureSlopes(opts: SlopeOptions): Promise<Figures> {
    const packr = new Packr({ useRecords: false });
    const sent = { messages: 0, bytes: 0 };
    const world = createLimitsWorld({
        onSend(topic, body) {
            sent.messages++;
            sent.bytes += packr.pack({ kind: "message", topic, body }).length;
        },
    });
    try {
        Array.from({ length: opts.entries }, (_, at) => world.startEntry(`zone-${at % 3}`));
        Array.from({ length: opts.teams }, (_, at) => world.setTeam(`team-${at}`, limit));
        await world.clock.tickAsync(warmUpMs);
        const before = { ...sent, ...world.platform.calls };
        const idle = await spend(opts, async () => void await world.clock.tickAsync(opts.seconds * 1000));
        const afterIdle = { ...sent, ...world.platform.calls };
        const busy = await spend(opts, () => burst(opts, world));
        const perEntry = (count: number) => round(count / opts.seconds / opts.entries);
        const texts = [...world.platform.values.values()].map(({ text }) => Buffer.byteLength(text));
        return {
            ledgerBytes: texts.reduce((sum, bytes) => sum + bytes, 0),
            ledgerBytesPerTeamAndEntry: round(texts.reduce((sum, bytes) => sum + bytes, 0) / opts.teams / opts.entries),
            largestLedgerBytes: Math.max(...texts),
            idleMessagesPerEntrySecond: perEntry(afterIdle.messages - before.messages),
            idleBytesPerEntrySecond: perEntry(afterIdle.bytes - before.bytes),
            idleCpuPercentPerEntry: idle,
            idleWritesPerSecond: round((afterIdle.write - before.write) / opts.seconds),
            busyMessagesPerEntrySecond: perEntry(sent.messages - afterIdle.messages),
            busyBytesPerEntrySecond: perEntry(sent.bytes - afterIdle.bytes),
            busyCpuPercentPerEntry: busy,
            busyWritesPerSecond: round((world.platform.calls.write - afterIdle.write) / opts.seconds),
            busyReadsPerSecond: round((world.platform.calls.read - afterIdle.read) / opts.seconds),
            limitsPassed: world.judge.broken.length,
        };
    }
    finally {
        world.close();
    }
}

/** Processor time of this whole process, stand-ins included, as percent of a core for each entry. */
async function spend(opts: SlopeOptions, action: () => Promise<void>): Promise<number> {
    const before = process.cpuUsage();
    await action();
    const { user, system } = process.cpuUsage(before);
    return round(100 * (user + system) / 1e6 / opts.seconds / opts.entries);
}

async function burst(opts: SlopeOptions, world: ReturnType<typeof createLimitsWorld>): Promise<void> {
    const random = xoroshiro128plus(opts.seed);
    let number = 0;
    for (let atMs = 0; atMs < opts.seconds * 1000; atMs += stepMs) {
        if (atMs % burstMs === 0) {
            for (let team = 0; team < Math.ceil(opts.teams / 10); team++) {
                const entry = world.entries[uniformInt(random, 0, opts.entries - 1)]!;
                const name = `team-${uniformInt(random, 0, opts.teams - 1)}`;
                for (let at = 0; at < burstTasks; at++) {
                    const size = { processors: 4, memoryMb: 4000, accelerators: 0 };
                    entry.submit({ id: `task-${number++}`, team: name, size, runMs: burstMs / 2 });
                }
            }
        }
        await world.clock.tickAsync(stepMs);
    }
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}
