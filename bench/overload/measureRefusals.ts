import { createDispatchWorld, installClock } from "../../standins/dispatch";

const refusals = 20_000;
const queued = 100;

/** Microseconds that one refusal takes when the queue is full, without the log line's formatting. */
export async function measureRefusals(): Promise<number> {
    const clock = installClock();
    const world = createDispatchWorld({
        entryZones: ["zone-a"],
        pools: { stalls: { "zone-a": 1 } },
        teams: [{ name: "stables", weight: 1, limit: 1000 }],
        random: Math.random,
        bounds: { tasksPerTeam: queued, tasks: queued },
        keepsEvents: false,
    });
    const entry = world.entries[0]!;
    const deadlineAtMs = Date.now() + 60_000;
    for (let at = 0; at < 2 * queued; at++) {
        void entry.run({ payload: "run 100000", deadlineAtMs });
    }
    await clock.advance(10);
    const startedAtNs = process.hrtime.bigint();
    for (let at = 0; at < refusals; at++) {
        void entry.run({ payload: "run 100000", deadlineAtMs });
    }
    const elapsedNs = process.hrtime.bigint() - startedAtNs;
    clock.uninstall();
    return Number(elapsedNs) / refusals / 1000;
}
