import { z } from "zod";
import type { Peers } from "../peers";
import type { PoolIndex } from "../pools";
import type { FleetState, Instance } from "../state";
import type { Workers, WorkerUsage } from "../workers";
import type { OtherUsage } from "./createWorkerLoads";

export interface UsageReaderOptions {
    readonly peers: Peers;
    readonly workers: Workers;
    readonly pools: PoolIndex;
    readonly state: () => FleetState | undefined;
    /** Interval at which one entry of the zone reads each worker of the zone, in milliseconds. */
    readonly usageIntervalMs: number;
    /** Called with the usage of a worker by other entries, as the worker reported it. */
    readonly onUsage: (instance: Instance, use: OtherUsage) => void;
    /** Called for a worker that reports itself as not serving. */
    readonly onLeaving: (instance: Instance) => void;
    /** Called with the number of tasks on one worker whose holder is neither this entry nor connected to it. */
    readonly onOrphans: (instance: Instance, count: number) => void;
}

const usageTopic = "dispatch.usage";
const summariesSchema = z.array(z.object({
    instance: z.string().max(128),
    isServing: z.boolean(),
    tasks: z.number().nonnegative(),
    processors: z.number().nonnegative(),
    memoryMb: z.number().nonnegative(),
    accelerators: z.number().nonnegative(),
}));
type UsageSummary = z.infer<typeof summariesSchema>[number];

/**
 * Reads each worker's usage once for the whole zone. The entries of a zone divide its workers by a hash of both names,
 * and each sends the others what it read. If every entry read every worker, the number of requests would grow with the
 * product of the two.
 */
export function createUsageReader(opts: UsageReaderOptions) {
    const { peers } = opts;
    let timer: NodeJS.Timeout | undefined;

    function listZoneEntries(): readonly string[] {
        const sameZone = peers.connected().filter(({ zone, region }) =>
            zone === peers.self.zone && region === peers.self.region
        );
        return [peers.self.boot, ...sameZone.map(({ boot }) => boot)];
    }

    function listAssignedWorkers(entries: readonly string[]): readonly Instance[] {
        const all = Object.values(opts.state()?.instances ?? {});
        return all.filter(({ zone, region, name }) =>
            zone === peers.self.zone && region === peers.self.region && chooseReader(name, entries) === peers.self.boot
        );
    }

    function summarize(boot: string, instance: Instance, usage: WorkerUsage): UsageSummary {
        const others = usage.tasks.filter(({ holder }) => holder !== boot).length;
        const othersShare = usage.runningTasks === 0 ? 0 : others / Math.max(1, usage.tasks.length);
        return {
            instance: instance.name,
            isServing: usage.state === "serving",
            tasks: others,
            processors: usage.size.processors * othersShare,
            memoryMb: usage.size.memoryMb * othersShare,
            accelerators: usage.size.accelerators * othersShare,
        };
    }

    function applySummary(summary: UsageSummary): void {
        const instance = opts.pools.findInstance(summary.instance);
        if (instance === undefined) {
            return;
        }
        if (summary.isServing) {
            opts.onUsage(instance, summary);
        }
        else {
            opts.onLeaving(instance);
        }
    }

    async function readOne(instance: Instance, entries: readonly string[], summaries: Map<string, UsageSummary[]>) {
        const answer = await opts.workers.readUsage({ instance: instance.name, url: instance.url });
        answer.ifRight((usage) => {
            const connected = new Set([peers.self.boot, ...peers.connected().map(({ boot }) => boot)]);
            opts.onOrphans(instance, usage.tasks.filter(({ holder }) => !connected.has(holder)).length);
            entries.forEach((boot) => summaries.get(boot)?.push(summarize(boot, instance, usage)));
        });
    }

    async function tick(): Promise<void> {
        const entries = listZoneEntries();
        const summaries = new Map<string, UsageSummary[]>(entries.map((boot) => [boot, []]));
        await Promise.all(listAssignedWorkers(entries).map((instance) => readOne(instance, entries, summaries)));
        for (const [boot, summariesOfEntry] of summaries) {
            if (boot === peers.self.boot) {
                summariesOfEntry.forEach(applySummary);
            }
            else if (summariesOfEntry.length > 0) {
                peers.send(boot, usageTopic, summariesOfEntry);
            }
        }
    }

    peers.onMessage(usageTopic, (_from, body) => {
        const parsed = summariesSchema.safeParse(body);
        if (parsed.success) {
            parsed.data.forEach(applySummary);
        }
    });

    return {
        start() {
            timer = setInterval(() => void tick(), opts.usageIntervalMs);
        },
        stop() {
            clearInterval(timer);
        },
    };
}

/**
 * Chooses the entry with the highest hash of both names (rendezvous hashing), so that few workers get another reader
 * when entries join or leave.
 */
function chooseReader(instance: string, entries: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestHash = -1;
    for (const boot of entries) {
        const hash = hashText(`${boot} ${instance}`);
        if (hash > bestHash) {
            [best, bestHash] = [boot, hash];
        }
    }
    return best;
}

/** FNV-1a, 32 bits. */
function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let at = 0; at < text.length; at++) {
        hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
    }
    return hash >>> 0;
}
