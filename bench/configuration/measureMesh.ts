import { createHistogram, performance } from "node:perf_hooks";
import { type Configuration, createConfiguration } from "../../src/configuration";
import { createListeners, defaultIntakeLimits, deriveConnectionLimits } from "../../src/listeners";
import { createMembers } from "../../src/members";
import { createPeers } from "../../src/peers";
import { createKeyWatcher } from "../../src/platform";
import { createFakePlatform } from "../../standins/fakes";
import { findFreePort } from "../../standins/processes";
import { round } from "./measureState";

/** How long the idle mesh and the mesh under changes are each observed, in milliseconds. */
const observeMs = 8000;
const changes = 40;

const maxDescriptors = 4096;
const listeners = createListeners(defaultIntakeLimits, () => {});

/** Entries with real links in one process, over a fake platform: traffic, processor time, and time to be in force. */
export async function measureMesh(entryCount: number) {
    const platform = createFakePlatform();
    const entries = await Promise.all(Array.from({ length: entryCount }, async (_, at) => {
        const port = await findFreePort();
        const peers = createPeers({
            self: {
                boot: `boot-${at}`,
                instance: `entry-${at}`,
                region: "north",
                zone: `zone-${at % 4}`,
                peerUrl: `ws://127.0.0.1:${port}`,
            },
            host: "127.0.0.1",
            port,
            heartbeatMs: 1000,
            silenceMs: 4000,
            listeners,
            limits: deriveConnectionLimits(maxDescriptors),
        });
        const client = platform.connect(`boot-${at}`);
        const watcher = createKeyWatcher({ platform: client, watchMs: 20_000, retryMs: 200 });
        const members = createMembers({ platform: client, watcher, peers, retryMs: 200 });
        const configuration = createConfiguration({ platform: client, watcher, peers, members });
        platform.instances.set(`entry-${at}`, "live");
        await peers.start();
        watcher.start();
        members.start();
        configuration.start();
        return { peers, watcher, members, configuration };
    }));
    const isMeshed = () => entries.every(({ peers }) => peers.connected().length === entryCount - 1);
    while (!isMeshed()) {
        await sleep(100);
    }
    await sleep(3000);

    const idle = await observe(() => sleep(observeMs));
    const times = createHistogram();
    const busy = await observe(async () => {
        for (let at = 0; at < changes; at++) {
            times.record(
                Math.max(1, Math.round(await timeChange(entries.map(({ configuration }) => configuration), at))),
            );
            await sleep(observeMs / changes);
        }
    });

    async function observe(run: () => Promise<void>) {
        const [bytes, frames, startedAtMs, processor] = [
            totalBytes(),
            totalFrames(),
            performance.now(),
            process.cpuUsage(),
        ];
        const calls = { ...platform.calls };
        await run();
        const seconds = (performance.now() - startedAtMs) / 1000;
        const used = process.cpuUsage(processor);
        const callsMade = Object.entries(platform.calls).map(([kind, count]) =>
            count - (calls as Record<string, number>)[kind]!
        );
        return {
            seconds,
            bytes: (totalBytes() - bytes) / entryCount,
            frames: (totalFrames() - frames) / entryCount,
            processorMs: (used.user + used.system) / 1000 / entryCount,
            calls: callsMade.reduce((sum, count) => sum + count, 0),
        };
    }

    function totalBytes(): number {
        return entries.reduce((sum, { peers }) => sum + (peers.traffic?.().sentBytes ?? 0), 0);
    }

    function totalFrames(): number {
        return entries.reduce((sum, { peers }) => sum + (peers.traffic?.().sentFrames ?? 0), 0);
    }

    const log = JSON.parse(platform.values.get("samphirepin/followed/log")?.text ?? "{}") as { records?: unknown[]; };
    const recordBytes = JSON.stringify(log.records).length / (log.records?.length ?? 1);
    for (const { configuration, members, watcher, peers } of entries) {
        configuration.stop();
        watcher.stop();
        await members.stop();
        await peers.stop();
    }
    const idleBytesPerSecond = idle.bytes / idle.seconds;
    return {
        idleBytesPerSecond: round(idleBytesPerSecond),
        idleBytesPerSecondPerPeer: round(idleBytesPerSecond / (entryCount - 1)),
        idleFramesPerSecond: round(idle.frames / idle.seconds),
        idleProcessorPercent: round(idle.processorMs / idle.seconds / 10),
        idlePlatformCallsPerSecond: round(idle.calls / idle.seconds),
        changeBytes: round((busy.bytes - idleBytesPerSecond * busy.seconds) / changes),
        changeProcessorMs: round((busy.processorMs - idle.processorMs / idle.seconds * busy.seconds) / changes),
        changePlatformCalls: round((busy.calls - idle.calls / idle.seconds * busy.seconds) / changes),
        recordBytes: round(recordBytes),
        inForceP50Ms: times.percentile(50),
        inForceMaxMs: times.max,
    };
}

/** From the operator's command to the first entry's knowledge that all have it, in milliseconds. */
async function timeChange(configurations: readonly Configuration[], at: number): Promise<number> {
    const writer = configurations[at % configurations.length]!;
    const startedAtMs = performance.now();
    const pool = { name: `pool-${at}`, maxUnavailable: 1 };
    const accepted = await writer.append({
        by: "bench",
        reason: "",
        command: { kind: "change", changes: [{ kind: "setPool", pool }] },
    });
    await writer.awaitInForce(accepted.orDefault(Infinity), 10_000);
    return performance.now() - startedAtMs;
}

function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
