import assert from "node:assert/strict";
import { type Configuration, createConfiguration } from "../../src/configuration";
import type { LogEvent } from "../../src/logging";
import { createMembers } from "../../src/members";
import { createKeyWatcher, type KeyWatcher, type Platform } from "../../src/platform";
import { createFakeNetwork, createFakePlatform } from "../../standins/fakes";

/** Small bounds, so that short schedules cut the log many times. */
const bounds = { snapshotInterval: 4, maxLogRecords: 8, maxLogBytes: 64 * 1024, maxKeptRecords: 16 };

export const logKey = "samphirepin/followed/log";

export interface TestEntry {
    readonly boot: string;
    readonly configuration: Configuration;
    readonly watcher: KeyWatcher;
    readonly events: LogEvent[];
    /** Every revision that was in force here, in order. */
    readonly revisions: number[];
    /** Names of the pools in the order in which their commands were applied. */
    applied(): readonly string[];
    readonly platform: Platform;
    /** Ends its timers. */
    end(): void;
    isLive: boolean;
}

/** Entries over the fakes of the platform and the network, with the faults of one schedule. */
export function createTestFleet(random: () => number = () => 0.5) {
    const platform = createFakePlatform();
    const network = createFakeNetwork();
    const entries: TestEntry[] = [];
    const gates = new Map<string, { opened: Promise<void>; open: () => void; }>();
    let started = 0;

    /** Calls of a frozen boot wait until it is woken, before they leave and before their answers are seen. */
    function connectPausable(boot: string): Platform {
        const client = platform.connect(boot);
        async function gated<T>(run: () => Promise<T>): Promise<T> {
            await gates.get(boot)?.opened;
            const answer = await run();
            await gates.get(boot)?.opened;
            return answer;
        }
        return {
            read: (key) => gated(() => client.read(key)),
            compareAndSwap: (key, expected, text) => gated(() => client.compareAndSwap(key, expected, text)),
            remove: (key) => gated(() => client.remove(key)),
            watch: (known, waitMs) => gated(() => client.watch(known, waitMs)),
            listInstances: () => gated(() => client.listInstances()),
            close: () => client.close(),
        };
    }

    function start(zone = "zone-a", wrap: (platform: Platform) => Platform = (inner) => inner): TestEntry {
        const boot = `boot-${++started}`;
        const instance = `entry-${started}`;
        platform.instances.set(instance, "live");
        const peers = network.connect({ boot, instance, region: "north", zone, peerUrl: `ws://${instance}` });
        const client = wrap(connectPausable(boot));
        const watcher = createKeyWatcher({ platform: client, watchMs: 20_000, retryMs: 200 });
        const events: LogEvent[] = [];
        const report = (event: LogEvent) => void events.push(event);
        const members = createMembers({ platform: client, watcher, peers, retryMs: 200, report, random });
        const configuration = createConfiguration({
            platform: client,
            watcher,
            peers,
            members,
            report,
            bounds,
            random,
        });
        const revisions: number[] = [];
        configuration.onChange(({ revision }) => revisions.push(revision));
        const entry: TestEntry = {
            boot,
            configuration,
            watcher,
            events,
            revisions,
            applied: () => Object.keys(configuration.state()?.pools ?? {}),
            platform: client,
            end() {
                configuration.stop();
                watcher.stop();
                void members.stop();
            },
            isLive: true,
        };
        entries.push(entry);
        watcher.start();
        members.start();
        configuration.start();
        return entry;
    }

    return {
        platform,
        network,
        entries,
        start,
        live: () => entries.filter(({ isLive }) => isLive),
        kill(entry: TestEntry) {
            entry.isLive = false;
            network.remove(entry.boot);
            platform.cutOff.add(entry.boot);
            platform.instances.delete(entry.boot.replace("boot", "entry"));
            entry.end();
        },
        freeze({ boot }: TestEntry) {
            network.frozen.add(boot);
            entries.forEach((other) => network.cuts.add(`${boot}>${other.boot}`));
            let open = () => {};
            const opened = new Promise<void>((resolve) => open = resolve);
            gates.set(boot, { opened, open });
        },
        wake({ boot }: TestEntry) {
            entries.forEach((other) => network.cuts.delete(`${boot}>${other.boot}`));
            gates.get(boot)?.open();
            gates.delete(boot);
            network.wake(boot);
        },
        isFrozen: ({ boot }: TestEntry) => gates.has(boot),
        /** Adds a pool, whose name tells this command from all others. */
        addPool: (entry: TestEntry, name: string) =>
            entry.configuration.append({
                by: "test",
                reason: "",
                command: { kind: "change", changes: [{ kind: "setPool", pool: { name, maxUnavailable: 1 } }] },
            }),
        /** What the service holds, to be restored later. */
        backUp: () => new Map(platform.values),
        restore(backup: ReadonlyMap<string, { text: string; revision: number; }>) {
            platform.values.clear();
            backup.forEach((value, key) => platform.values.set(key, value));
        },
        stop() {
            entries.forEach((entry) => entry.end());
        },
    };
}

export type TestFleet = ReturnType<typeof createTestFleet>;

export function assertSame(entries: readonly TestEntry[], names: readonly string[]): void {
    entries.forEach(({ boot, applied }) => assert.deepEqual(applied(), names, boot));
}
