import { z } from "zod";
import type { Peer, Peers } from "../peers";
import type { Platform, StoredValue, Watcher } from "../platform";
import type { Members } from "./members";

export interface MembersOptions {
    readonly platform: Platform;
    readonly watcher: Watcher;
    readonly peers: Peers;
    /** How long to wait after the platform failed, in milliseconds. */
    readonly retryMs: number;
}

/** Key of the record of entries in the platform's service. */
const membersKey = "samphirepin/entries";

const recordSchema = z.array(z.object({
    boot: z.string(),
    instance: z.string(),
    region: z.string(),
    zone: z.string(),
    peerUrl: z.string(),
}));

/** Keeps this boot in the record and the links to all others. */
export function createMembers(opts: MembersOptions): Members {
    const { self } = opts.peers;
    const listeners = new Set<() => void>();
    const everRecorded = new Set<string>();
    let record: readonly Peer[] | undefined;
    let isRunning = false;

    opts.watcher.follow(membersKey, (stored) => {
        record = parseRecord(stored);
        record.forEach(({ boot }) => everRecorded.add(boot));
        opts.peers.setAddresses(record.map(({ peerUrl }) => peerUrl));
        listeners.forEach((listener) => listener());
    });

    /** Gives false where it has to be tried again. */
    async function change(edit: (current: readonly Peer[]) => readonly Peer[]): Promise<boolean> {
        const read = await opts.platform.read(membersKey);
        if (read.isLeft()) {
            return false;
        }
        const stored = read.orDefault(undefined);
        const text = JSON.stringify(edit(parseRecord(stored)));
        const written = await opts.platform.compareAndSwap(membersKey, stored?.revision ?? 0, text);
        written.ifRight((revision) => opts.watcher.learn(membersKey, { text, revision }));
        return written.isRight();
    }

    async function enter(): Promise<void> {
        while (isRunning && !(await change((current) => [...withoutInstance(current, self.instance), self]))) {
            await new Promise((resolve) => setTimeout(resolve, opts.retryMs));
        }
    }

    return {
        recorded: () => record,
        isGone: (boot) => everRecorded.has(boot) && !(record ?? []).some((peer) => peer.boot === boot),
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {
            isRunning = true;
            void enter();
        },
        async stop() {
            isRunning = false;
            await change((current) => current.filter(({ boot }) => boot !== self.boot));
        },
    };
}

function withoutInstance(record: readonly Peer[], instance: string): readonly Peer[] {
    return record.filter((peer) => peer.instance !== instance);
}

function parseRecord(stored: StoredValue | undefined): readonly Peer[] {
    return stored === undefined ? [] : recordSchema.parse(JSON.parse(stored.text));
}
