import { authenticateTeam } from "../src/keys";
import { createRandom } from "../standins/random";
import { pools, type SimEntry, teamLimits, type World } from "./createWorld";
import type { CallRecord, Judge } from "./judge";

const sendEveryMs = 250;
const startDeadlineMs = 20_000;
const cancelAfterMs = 300;

/**
 * Callers that send tasks through any running entry: two teams, both pools, a third of them not repeatable, some sent
 * again through another entry while the first sending is still under way, some cancelled.
 */
export function startLoad(world: World, judge: Judge, seed: number, durationMs: number): void {
    const random = createRandom(seed);
    const endAtMs = Date.now() + durationMs;
    let nextId = 1;

    function submit(entry: SimEntry, call: CallRecord, signal: AbortSignal): void {
        entry.host.run(() => {
            const { core } = entry;
            const state = core.configuration.state();
            const key = world.keys[call.team]?.text ?? "";
            if (state === undefined || authenticateTeam(state, key)?.team !== call.team) {
                return;
            }
            judge.calls.push(call);
            world.emit({ boot: entry.boot, kind: "taskTaken", when: "after" });
            const request = {
                id: `${entry.boot}.${call.id}`,
                team: call.team,
                pool: pools[call.id % pools.length] ?? pools[0],
                size: { processors: 1, memoryMb: 100, accelerators: 0 },
                expectedRunMs: 500,
                deadlineAtMs: Date.now() + startDeadlineMs,
                urgent: call.id % 7 === 0,
                repeatable: call.repeatable,
                ...call.idempotencyKey === undefined ? {} : { idempotencyKey: call.idempotencyKey },
                payload: call.payload,
            };
            void core.tasks.run(request, signal).then((end) => judge.noteEnd(call, end));
        });
    }

    function sendOne(): void {
        const id = nextId++;
        const running = world.entries.filter(({ host, isStopping }) => host.state !== "dead" && !isStopping);
        const entry = random.pick(running);
        const repeatable = random.chance(60);
        const isCancelled = random.chance(10);
        const team = random.pick(Object.keys(teamLimits));
        const record = (boot: string, at: number): CallRecord => ({
            id,
            team,
            payload: `run ${100 + 37 * (id % 31)} ${isCancelled ? "cancel" : "task"} ${id}`,
            repeatable,
            ...repeatable ? {} : { idempotencyKey: `key-${seed}-${id}` },
            sentAtMs: at,
            boot,
        });
        const controller = new AbortController();
        world.cancellations.add(controller);
        submit(entry, record(entry.boot, Date.now()), controller.signal);
        if (isCancelled) {
            setTimeout(() => {
                world.emit({ boot: entry.boot, kind: "taskCancelled", when: "before" });
                controller.abort();
            }, cancelAfterMs);
        }
        if (!repeatable && random.chance(40)) {
            const again = random.pick(running);
            const resend = () => submit(again, record(again.boot, Date.now()), new AbortController().signal);
            setTimeout(resend, random.int(0, 3000));
        }
    }

    const timer = setInterval(() => {
        if (Date.now() >= endAtMs) {
            clearInterval(timer);
            return;
        }
        sendOne();
    }, sendEveryMs);
}
