import { fileURLToPath } from "node:url";
import { createRecord } from "../record.mjs";
import { call, createWorld, pause, prefix, runCase } from "../world.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = createRecord(fileURLToPath(new URL("record.txt", import.meta.url)));

/** What the account may have running, and the size of a task, in thousandths of a core. */
const capCpu = 32_000;
const taskCpu = 2000;
const tasks = capCpu / taskCpu;

/** `quotaOvershoot` of the sheet. */
const overshoot = 0.1;
const allowedCpu = capCpu * (1 + overshoot) + taskCpu;

const workMs = 800;

/** Dose of `srv_slow` in the site file. */
const [slowFactor, slowForMs] = [6.5, 7000];

const target = "00000000000000c1";

await runCase(record, async (setWorld) => {
    let highestCpu = 0;
    let slowWorker;
    let isSlowing = false;

    /** The worker that gets the next task turns slow: one of six, a share of 0.17. */
    function workMsOf(_task, worker) {
        if (isSlowing && slowWorker === undefined) {
            slowWorker = worker;
            record(`${worker} turns slow: work takes ${slowFactor} times as long`);
            setTimeout(() => slowWorker = "", slowForMs);
        }
        return worker === slowWorker ? slowFactor * workMs : workMs;
    }

    const world = await createWorld({
        record,
        cap: { cpu: capCpu, memMb: 0, gpu: 0 },
        workMsOf,
        onEvent(kind) {
            const running = world?.runs.filter(({ endedAtMs }) => endedAtMs === undefined) ?? [];
            highestCpu = kind === "started" ? Math.max(highestCpu, running.length * taskCpu) : highestCpu;
        },
    });
    setWorld(world);
    await world.waitUntilServing();
    await pause(4000);
    const [entry] = world.entries;
    const submit = async (id) => {
        const { status } = await call(entry.front, "POST", prefix + id, {
            body: {
                spec: id,
                steps: [{ count: tasks, cpu: taskCpu, memMb: 256, estimateMs: workMs, speculative: true }],
            },
        });
        record(`POST ${id}: ${status}`);
    };
    await submit("00000000000000c0");
    await pause(2500);
    isSlowing = hasTrouble;
    await submit(target);
    await pause(7000);
    record(`most running at once: ${highestCpu}; cap: ${capCpu}; allowed: ${allowedCpu}`);
    const state = await call(entry.front, "GET", prefix + target);
    record(`GET ${target}: ${state.status} ${state.text}`);
    return highestCpu > allowedCpu;
});
