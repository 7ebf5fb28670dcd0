import { createHash } from "node:crypto";
import { z } from "zod";
import type { Peers } from "../peers";
import type { InstanceStatus, Platform } from "../platform";

export interface InstanceListOptions {
    readonly platform: Platform;
    readonly peers: Peers;
    /** Interval at which each zone reads the list, in milliseconds. */
    readonly listMs: number;
    /** Called after this entry has read the list itself. */
    readonly onRead: (listing: Listing) => Promise<void>;
    /** Called after the list has changed. */
    readonly onChange: () => void;
}

/** Status of each instance in the list, by instance name. */
export type Listing = ReadonlyMap<string, InstanceStatus>;

/** The platform's instance list: one entry of each zone reads it and sends the changes to the other entries there. */
export interface InstanceList {
    /** The latest list known; `undefined` until one was received. */
    current(): Listing | undefined;
    /** Age of the list, in milliseconds since it was requested; `undefined` until one was received. */
    ageMs(): number | undefined;
    start(): void;
    stop(): void;
}

const topic = "members/list";

/** Average bandwidth for reading the list, in bytes per second; a long list is read less often. */
const listBytesPerSecond = 2000;
/** Estimated size of one item of the list, in bytes. */
const bytesPerListing = 60;

const status = z.enum(["live", "leaving"]);
const changesSchema = z.object({
    /** Digests of the list before and after these changes. */
    before: z.string().max(64),
    after: z.string().max(64),
    ageMs: z.number().nonnegative(),
    changed: z.array(z.tuple([z.string().max(256), z.union([status, z.literal("absent")])])).max(100_000),
});
const fullListSchema = z.object({
    ageMs: z.number().nonnegative(),
    listing: z.array(z.tuple([z.string().max(256), status])).max(100_000),
});

/** Timeout of a request for the full list, in milliseconds. */
const requestTimeoutMs = 2000;

export function createInstanceList(opts: InstanceListOptions): InstanceList {
    const { peers } = opts;
    const ownHash = hashBoot(peers.self.boot);
    let listing: Listing | undefined;
    let digest = "";
    let requestedAtMs = 0;
    let timer: NodeJS.Timeout | undefined;
    let isReading = false;

    function findZonePeers() {
        return peers.connected().filter(({ zone }) => zone === peers.self.zone);
    }

    /** Position of this entry among the connected entries of its zone; the first one reads the list. */
    function rank(): number {
        return findZonePeers().filter(({ boot }) => hashBoot(boot) < ownHash).length;
    }

    function intervalMs(): number {
        const bytes = (listing?.size ?? 0) * bytesPerListing;
        return Math.max(opts.listMs, bytes / listBytesPerSecond * 1000);
    }

    function applyList(next: Listing, sentAtMs: number): void {
        const nextDigest = digestOf(next);
        const isChanged = listing === undefined || nextDigest !== digest;
        [listing, digest, requestedAtMs] = [next, nextDigest, sentAtMs];
        if (isChanged) {
            opts.onChange();
        }
    }

    /** Reads the list when it is due. Each rank waits half an interval longer, and reads if the ranks before it did not. */
    async function readIfDue(): Promise<void> {
        const dueMs = intervalMs() * (1 + rank() / 2);
        if (isReading || listing !== undefined && Date.now() - requestedAtMs < dueMs) {
            return;
        }
        isReading = true;
        await read();
        isReading = false;
    }

    async function read(): Promise<void> {
        const sentAtMs = Date.now();
        const answer = await opts.platform.listInstances();
        if (answer.isLeft()) {
            return;
        }
        const next = new Map(answer.orDefault([]).map((each) => [each.instance, each.status]));
        const changed = differences(listing ?? new Map(), next);
        const before = digest;
        applyList(next, sentAtMs);
        const body = { before, after: digest, ageMs: Date.now() - sentAtMs, changed };
        findZonePeers().forEach(({ boot }) => peers.send(boot, topic, body));
        await opts.onRead(next);
    }

    async function handleUpdate(from: string, body: unknown): Promise<void> {
        const changes = changesSchema.safeParse(body).data;
        if (changes === undefined) {
            return;
        }
        const sentAtMs = Date.now() - changes.ageMs;
        if (changes.before === digest && listing !== undefined) {
            const next = new Map(listing);
            changes.changed.forEach(([name, now]) => now === "absent" ? next.delete(name) : next.set(name, now));
            applyList(next, sentAtMs);
            return;
        }
        if (changes.after === digest) {
            requestedAtMs = sentAtMs;
            return;
        }
        const answer = await peers.request(from, topic, {}, requestTimeoutMs);
        answer.ifRight((full) => {
            const parsed = fullListSchema.safeParse(full).data;
            if (parsed !== undefined) {
                applyList(new Map(parsed.listing), Date.now() - parsed.ageMs);
            }
        });
    }

    peers.onMessage(topic, (from, body) => void handleUpdate(from.boot, body));
    peers.onRequest(topic, () => Promise.resolve({ ageMs: Date.now() - requestedAtMs, listing: [...listing ?? []] }));

    return {
        current: () => listing,
        ageMs: () => listing === undefined ? undefined : Date.now() - requestedAtMs,
        start() {
            timer = setInterval(() => void readIfDue(), Math.max(1, opts.listMs / 5));
            void readIfDue();
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

function hashBoot(boot: string): string {
    return createHash("sha256").update(boot).digest("hex");
}
