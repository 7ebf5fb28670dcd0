import { createHash } from "node:crypto";
import { z } from "zod";
import type { Peers } from "../peers";
import type { InstanceStatus, Platform } from "../platform";

export interface InstanceListOptions {
    readonly platform: Platform;
    readonly peers: Peers;
    /** How often the list is read in one zone, in milliseconds. */
    readonly listMs: number;
    /** Called after this entry has read the list itself. */
    readonly onRead: (listing: Listing) => Promise<void>;
    readonly onChange: () => void;
}

export type Listing = ReadonlyMap<string, InstanceStatus>;

/** The platform's list, read by one entry of each zone and told to the others there. */
export interface InstanceList {
    current(): Listing | undefined;
    ageMs(): number | undefined;
    start(): void;
    stop(): void;
}

const topic = "members/list";

/** Bytes a second that reading the list may take on average; a long list is read more seldom. */
const listBytesPerSecond = 2000;
const bytesPerListing = 60;

const status = z.enum(["live", "leaving"]);
const newsSchema = z.object({
    /** Digest of the list before and after these changes. */
    before: z.string().max(64),
    after: z.string().max(64),
    ageMs: z.number().nonnegative(),
    changed: z.array(z.tuple([z.string().max(256), z.union([status, z.literal("absent")])])).max(100_000),
});
const fullSchema = z.object({
    ageMs: z.number().nonnegative(),
    listing: z.array(z.tuple([z.string().max(256), status])).max(100_000),
});

const requestMs = 2000;

export function createInstanceList(opts: InstanceListOptions): InstanceList {
    const { peers } = opts;
    const ownWeight = weigh(peers.self.boot);
    let listing: Listing | undefined;
    let digest = "";
    let askedAtMs = 0;
    let timer: NodeJS.Timeout | undefined;
    let isReading = false;

    function zonePeers() {
        return peers.connected().filter(({ zone }) => zone === peers.self.zone);
    }

    /** Position of this entry among those of its zone that could read the list; the first one reads it. */
    function rank(): number {
        return zonePeers().filter(({ boot }) => weigh(boot) < ownWeight).length;
    }

    function intervalMs(): number {
        const bytes = (listing?.size ?? 0) * bytesPerListing;
        return Math.max(opts.listMs, bytes / listBytesPerSecond * 1000);
    }

    function adopt(next: Listing, asked: number): void {
        const nextDigest = digestOf(next);
        const isChanged = listing === undefined || nextDigest !== digest;
        [listing, digest, askedAtMs] = [next, nextDigest, asked];
        if (isChanged) {
            opts.onChange();
        }
    }

    async function tick(): Promise<void> {
        const dueMs = intervalMs() * (1 + rank() / 2);
        if (isReading || listing !== undefined && Date.now() - askedAtMs < dueMs) {
            return;
        }
        isReading = true;
        await read();
        isReading = false;
    }

    async function read(): Promise<void> {
        const asked = Date.now();
        const answer = await opts.platform.listInstances();
        if (answer.isLeft()) {
            return;
        }
        const next = new Map(answer.orDefault([]).map((each) => [each.instance, each.status]));
        const changed = differences(listing ?? new Map(), next);
        const before = digest;
        adopt(next, asked);
        const body = { before, after: digest, ageMs: Date.now() - asked, changed };
        zonePeers().forEach(({ boot }) => peers.send(boot, topic, body));
        await opts.onRead(next);
    }

    async function hear(from: string, body: unknown): Promise<void> {
        const news = newsSchema.safeParse(body).data;
        if (news === undefined) {
            return;
        }
        const asked = Date.now() - news.ageMs;
        if (news.before === digest && listing !== undefined) {
            const next = new Map(listing);
            news.changed.forEach(([name, now]) => now === "absent" ? next.delete(name) : next.set(name, now));
            adopt(next, asked);
            return;
        }
        if (news.after === digest) {
            askedAtMs = asked;
            return;
        }
        const answer = await peers.request(from, topic, {}, requestMs);
        answer.ifRight((full) => {
            const parsed = fullSchema.safeParse(full).data;
            if (parsed !== undefined) {
                adopt(new Map(parsed.listing), Date.now() - parsed.ageMs);
            }
        });
    }

    peers.onMessage(topic, (from, body) => void hear(from.boot, body));
    peers.onRequest(topic, () => Promise.resolve({ ageMs: Date.now() - askedAtMs, listing: [...listing ?? []] }));

    return {
        current: () => listing,
        ageMs: () => listing === undefined ? undefined : Date.now() - askedAtMs,
        start() {
            timer = setInterval(() => void tick(), Math.max(1, opts.listMs / 5));
            void tick();
        },
        stop() {
            clearInterval(timer);
        },
    };
}

function differences(before: Listing, after: Listing): readonly (readonly [string, InstanceStatus | "absent"])[] {
    const changed = [...after].filter(([name, now]) => before.get(name) !== now);
    const absent = [...before.keys()].filter((name) => !after.has(name)).map((name) => [name, "absent"] as const);
    return [...changed, ...absent];
}

function digestOf(listing: Listing): string {
    const lines = [...listing].map(([name, now]) => `${name} ${now}`).sort();
    return createHash("sha256").update(lines.join("\n")).digest("hex").slice(0, 16);
}

function weigh(boot: string): string {
    return createHash("sha256").update(boot).digest("hex");
}
