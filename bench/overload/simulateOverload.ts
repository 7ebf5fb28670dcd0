import { createDispatchWorld, installClock } from "../../standins/dispatch";
import { createRandom } from "../../standins/random";

export interface OverloadResult {
    readonly answeredPerSecond: number;
    readonly refusedPercent: number;
    readonly mostWaiting: number;
    /** Longest wait of a task that started, in milliseconds. */
    readonly longestWaitMs: number;
    readonly startP99Ms: number;
}

const entries = 3;
const workers = 6;
const slots = 8;
const meanRunMs = 200;
const deadlineMs = 3000;
const warmUpMs = 2000;
export const bounds = { tasksPerTeam: 60, tasks: 100 };

/** Runs the product's dispatch at a multiple of what the workers can do; deadlines are 3 s. */
export async function simulateOverload(load: number, seed: number, durationMs: number): Promise<OverloadResult> {
    const clock = installClock();
    try {
        return await simulate(load, seed, durationMs, (ms) => clock.advance(ms));
    }
    finally {
        clock.uninstall();
    }
}

async function simulate(
    load: number,
    seed: number,
    durationMs: number,
    advance: (ms: number) => Promise<void>,
): Promise<OverloadResult> {
    const random = createRandom(seed);
    const next = () => random.int(0, 999_999) / 1_000_000;
    const teams = ["large", "small"];
    const world = createDispatchWorld({
        entryZones: Array.from({ length: entries }, () => "zone-a"),
        pools: { stalls: { "zone-a": workers } },
        slots,
        teams: teams.map((name) => ({ name, weight: 1, limit: 10_000 })),
        random: next,
        bounds,
        keepsEvents: false,
    });
    await advance(500);
    const perMs = load * workers * slots / meanRunMs;
    const sentAtMs = new Map<string, number>();
    let [sent, answered, refused, mostWaiting] = [0, 0, 0, 0];
    const measureFromMs = Date.now() + warmUpMs;
    const measureToMs = Date.now() + durationMs;

    function sendOne(): void {
        const runMs = Math.max(5, Math.round(-Math.log(1 - next()) * meanRunMs));
        const payload = `run ${runMs} #${sent++}`;
        sentAtMs.set(payload, Date.now());
        const team = random.chance(80) ? "large" : "small";
        const task = { team, payload, expectedRunMs: meanRunMs, deadlineAtMs: Date.now() + deadlineMs };
        void random.pick(world.entries).run(task).then((end) => {
            const isCounted = Date.now() >= measureFromMs && Date.now() < measureToMs;
            answered += isCounted && end.kind === "answered" ? 1 : 0;
            refused += end.kind === "answered" ? 0 : 1;
        });
    }

    for (let atMs = 0; atMs < durationMs; atMs++) {
        for (let expected = perMs; expected > 1 || next() < expected; expected--) {
            sendOne();
        }
        await advance(1);
        mostWaiting = Math.max(mostWaiting, ...world.entries.map(({ dispatch }) => dispatch.counts().waiting));
    }
    await advance(deadlineMs + 3000);
    const waits = world.workers.starts.map(({ order, atMs }) => atMs - (sentAtMs.get(order.payload) ?? atMs))
        .sort((a, b) => a - b);
    return {
        answeredPerSecond: answered / (durationMs - warmUpMs) * 1000,
        refusedPercent: refused / sent * 100,
        mostWaiting,
        longestWaitMs: waits.at(-1) ?? 0,
        startP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
    };
}
