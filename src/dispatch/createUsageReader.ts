import { z } from "zod";
import type { Peers } from "../peers";
import type { PoolIndex } from "../pools";
import type { FleetState, Instance } from "../state";
import type { Workers, WorkerUsage } from "../workers";
import type { OtherUse } from "./createWorkerLoads";

export interface UsageReaderOptions {
    readonly peers: Peers;
    readonly workers: Workers;
    readonly pools: PoolIndex;
    readonly state: () => FleetState | undefined;
    /** How often each worker of the zone is asked, by one entry of the zone, in milliseconds. */
    readonly usageMs: number;
    /** What a worker said that other entries have there. */
    readonly onUse: (instance: Instance, use: OtherUse) => void;
    readonly onLeaving: (instance: Instance) => void;
    /** Tasks of holders that are neither this entry nor connected, at one worker. */
    readonly onOrphans: (instance: Instance, count: number) => void;
}

const usageTopic = "dispatch.usage";
const digestSchema = z.array(z.object({
    instance: z.string().max(128),
    isServing: z.boolean(),
    tasks: z.number().nonnegative(),
    processors: z.number().nonnegative(),
    memoryMb: z.number().nonnegative(),
    accelerators: z.number().nonnegative(),
}));
type Digest = z.infer<typeof digestSchema>[number];

/**
 * Reads each worker's usage once for the whole zone: the entries of a zone divide its workers by a hash of both names,
 * and each tells the others what it read. Every entry asking every worker would grow with their product.
 */
export function createUsageReader(opts: UsageReaderOptions) {
    const { peers } = opts;
    let timer: NodeJS.Timeout | undefined;

    function zoneEntries(): readonly string[] {
        const near = peers.connected().filter(({ zone, region }) =>
            zone === peers.self.zone && region === peers.self.region
        );
        return [peers.self.boot, ...near.map(({ boot }) => boot)];
    }

    function ownWorkers(entries: readonly string[]): readonly Instance[] {
        const all = Object.values(opts.state()?.instances ?? {});
        return all.filter(({ zone, region, name }) =>
            zone === peers.self.zone && region === peers.self.region && chooseReader(name, entries) === peers.self.boot
        );
    }

    function digestFor(boot: string, instance: Instance, usage: WorkerUsage): Digest {
        const others = usage.tasks.filter(({ holder }) => holder !== boot).length;
        const part = usage.runningTasks === 0 ? 0 : others / Math.max(1, usage.tasks.length);
        return {
            instance: instance.name,
            isServing: usage.state === "serving",
            tasks: others,
            processors: usage.size.processors * part,
            memoryMb: usage.size.memoryMb * part,
            accelerators: usage.size.accelerators * part,
        };
    }

    function take(digest: Digest): void {
        const instance = opts.pools.findInstance(digest.instance);
        if (instance === undefined) {
            return;
        }
        if (digest.isServing) {
            opts.onUse(instance, digest);
        }
        else {
            opts.onLeaving(instance);
        }
    }

    async function readOne(instance: Instance, entries: readonly string[], digests: Map<string, Digest[]>) {
        const answer = await opts.workers.readUsage({ instance: instance.name, url: instance.url });
        answer.ifRight((usage) => {
            const connected = new Set([peers.self.boot, ...peers.connected().map(({ boot }) => boot)]);
            opts.onOrphans(instance, usage.tasks.filter(({ holder }) => !connected.has(holder)).length);
            entries.forEach((boot) => digests.get(boot)?.push(digestFor(boot, instance, usage)));
        });
    }

    async function tick(): Promise<void> {
        const entries = zoneEntries();
        const digests = new Map<string, Digest[]>(entries.map((boot) => [boot, []]));
        await Promise.all(ownWorkers(entries).map((instance) => readOne(instance, entries, digests)));
        for (const [boot, digest] of digests) {
            if (boot === peers.self.boot) {
                digest.forEach(take);
            }
            else if (digest.length > 0) {
                peers.send(boot, usageTopic, digest);
            }
        }
    }

    peers.onMessage(usageTopic, (_from, body) => {
        const parsed = digestSchema.safeParse(body);
        if (parsed.success) {
            parsed.data.forEach(take);
        }
    });

    return {
        start() {
            timer = setInterval(() => void tick(), opts.usageMs);
        },
        stop() {
            clearInterval(timer);
        },
    };
}

/** Rendezvous hashing: the entry with the highest hash of both names; few workers change hands when entries do. */
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
