import { pack } from "msgpackr";
import type { Shares, SharesOptions } from "../../src/shares";
import { createDispatchWorld, type DispatchWorld, installClock } from "../../standins/dispatch";
import { createRandom } from "../../standins/random";
import { idealShares } from "./idealShares";
import { entriesPerZone, slotsPerWorker, spreadOverZones, type UserSize, zones } from "./userSizes";

export interface BurstOptions {
    readonly size: UserSize;
    readonly seed: number;
    readonly durationMs: number;
    readonly createShares?: (opts: SharesOptions) => Shares;
    /** How much a burst asks for, as a multiple of what its pool holds. */
    readonly burstLoad: number;
    readonly reportMs?: number;
}

/** One look at the fleet. */
export interface ShareSample {
    readonly atMs: number;
    /** Milliseconds since demand last changed. */
    readonly sinceChangeMs: number;
    /** Slots that are with the wrong team or idle though wanted, as a part of the fleet's. */
    readonly error: number;
    /** The same as a part of the bursting pool's slots. */
    readonly poolError: number;
    /** `error` of the amounts averaged over the last second, which leaves out that slots are whole. */
    readonly meanError: number;
    /** Part of the bursting pool's slots that are taken. */
    readonly inUse: number;
}

export interface BurstResult {
    readonly samples: readonly ShareSample[];
    readonly tasks: number;
    readonly answered: number;
    readonly urgentStartMs: readonly number[];
    /** Messages between entries by topic. */
    readonly messages: ReadonlyMap<string, { readonly count: number; readonly bytes: number; }>;
}

const sampleMs = 100;
const windowSamples = 10;
const quietLoad = 1 / 20;
/** A burst asks for five times the mean. */
const burstFactor = 5;
const urgentPercent = 2;
const deadlineMs = 3000;

/** Runs the product's dispatch and shares over fake workers while demand rotates between the services. */
export async function simulateBursts(opts: BurstOptions): Promise<BurstResult> {
    const clock = installClock();
    try {
        return await simulate(opts, (ms) => clock.advance(ms));
    }
    finally {
        clock.uninstall();
    }
}

async function simulate(opts: BurstOptions, advance: (ms: number) => Promise<void>): Promise<BurstResult> {
    const { size } = opts;
    const random = createRandom(opts.seed);
    const next = () => random.int(0, 999_999) / 1_000_000;
    const poolNames = size.workersByPool.map((_, at) => `service-${at + 1}`);
    const poolSlots = size.workersByPool.map((workers) => workers * slotsPerWorker);
    const fleetSlots = poolSlots.reduce((sum, slots) => sum + slots, 0);
    let [tasks, answered] = [0, 0];
    const messages = new Map<string, { count: number; bytes: number; }>();
    const world = createDispatchWorld({
        entryZones: zones.flatMap((zone) => Array.from({ length: entriesPerZone }, () => zone)),
        pools: Object.fromEntries(poolNames.map((name, at) => [name, spreadOverZones(size.workersByPool[at]!)])),
        slots: slotsPerWorker,
        teams: size.teams.map(({ name, weight }) => ({ name, weight, limit: 100_000 })),
        random: next,
        keepsEvents: false,
        reportMs: opts.reportMs ?? 500,
        ...opts.createShares === undefined ? {} : { createShares: opts.createShares },
        onMessage(topic, body) {
            const sent = messages.get(topic) ?? { count: 0, bytes: 0 };
            messages.set(topic, { count: sent.count + 1, bytes: sent.bytes + pack(body).length });
        },
    });
    world.network.delayMs = size.delayMs;
    world.workers.delayMs = size.delayMs;
    const urgentAtMs = new Map<string, number>();
    const urgentStartMs: number[] = [];
    const samples: ShareSample[] = [];
    const window: Look[] = [];
    const startMs = Date.now();

    function sendOne(pool: string, team: string): void {
        const entry = random.pick(world.entries);
        const runMs = Math.max(5, Math.round(-Math.log(1 - next()) * size.meanRunMs));
        const payload = `run ${runMs} #${tasks++}`;
        const urgent = random.chance(urgentPercent);
        if (urgent) {
            urgentAtMs.set(payload, Date.now());
        }
        const deadlineAtMs = Date.now() + deadlineMs;
        void entry.run({ pool, team, payload, urgent, expectedRunMs: size.meanRunMs, deadlineAtMs }).then((end) => {
            answered += end.kind === "answered" ? 1 : 0;
        });
    }

    function arrive(burstAt: number): void {
        poolNames.forEach((pool, at) => {
            const mean = opts.burstLoad / burstFactor;
            const load = at === burstAt ? opts.burstLoad : mean * quietLoad * burstFactor;
            const perMs = load * poolSlots[at]! / size.meanRunMs;
            for (const { name, demand } of size.teams) {
                let expected = perMs * demand;
                for (; expected > 1 || next() < expected; expected--) {
                    sendOne(pool, name);
                }
            }
        });
    }

    for (let atMs = 0; atMs < opts.durationMs; atMs++) {
        const burstAt = Math.floor(atMs / size.burstMs) % poolNames.length;
        arrive(burstAt);
        await advance(1);
        if (atMs % sampleMs === 0) {
            for (const { order: { payload }, atMs: startedAtMs } of world.workers.starts.splice(0)) {
                const sentAtMs = urgentAtMs.get(payload);
                if (sentAtMs !== undefined) {
                    urgentStartMs.push(startedAtMs - sentAtMs);
                    urgentAtMs.delete(payload);
                }
            }
            const slots = poolSlots[burstAt]!;
            const look = compare(world, poolNames[burstAt]!, size, slots);
            window.push(look);
            window.splice(0, window.length - windowSamples);
            samples.push({
                atMs: Date.now() - startMs,
                sinceChangeMs: atMs % size.burstMs,
                error: wrongSlots([look]) / fleetSlots,
                meanError: wrongSlots(window) / fleetSlots,
                poolError: wrongSlots([look]) / slots,
                inUse: sumOf(look.running) / slots,
            });
        }
    }
    await advance(deadlineMs + 20 * size.meanRunMs);
    return { samples, tasks, answered, urgentStartMs, messages };
}

/** Slots by team, as they are and as they should be for what runs and waits now. */
interface Look {
    readonly running: readonly number[];
    readonly ideal: readonly number[];
}

/** Slots that are with the wrong team, or idle though wanted, on the mean of the looks. */
function wrongSlots(looks: readonly Look[]): number {
    const teams = looks[0]?.running.length ?? 0;
    let wrong = 0;
    for (let at = 0; at < teams; at++) {
        const missing = looks.reduce((sum, { running, ideal }) => sum + ideal[at]! - running[at]!, 0) / looks.length;
        wrong += Math.max(0, missing);
    }
    return wrong;
}

function sumOf(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0);
}

function compare(world: DispatchWorld, pool: string, size: UserSize, slots: number): Look {
    const running = new Map<string, number>();
    for (const worker of world.workers.workers.values()) {
        for (const { order } of worker.running.values()) {
            if (order.pool === pool) {
                running.set(order.team, (running.get(order.team) ?? 0) + 1);
            }
        }
    }
    const wants = size.teams.map(({ name, weight }) => ({
        weight,
        slots: (running.get(name) ?? 0) + world.entries.reduce((sum, entry) => sum + entry.waitingOf(pool, name), 0),
    }));
    return { running: size.teams.map(({ name }) => running.get(name) ?? 0), ideal: idealShares(wants, slots) };
}
