import { fileURLToPath } from "node:url";
import { createRecord } from "../record.mjs";
import { call, createWorld, pause, prefix, runCase } from "../world.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = createRecord(fileURLToPath(new URL("record.txt", import.meta.url)));

const target = "00000000000000e1";

/** Runs of the task that fail by their own fault; the next one is done. */
const failingRuns = 2;

await runCase(record, async (setWorld) => {
    const world = await createWorld({
        record,
        failsOn: ({ task, run }) => task.startsWith(target) && run <= failingRuns,
    });
    setWorld(world);
    await world.waitUntilServing();
    await pause(4000);
    const [entry] = world.entries;
    const config = world.store.read("op/config");
    const [route] = config.routes;

    function putConfig(version, routes) {
        world.store.put("op/config", { ...config, version, routes });
        const list = routes.map(({ name, maxAttempts }) => `${name} (maxAttempts ${maxAttempts})`);
        record(`operator: config ${version}, routes of ${prefix}: ${list.join(", ")}`);
    }

    async function readState() {
        const { status, text } = await call(entry.front, "GET", prefix + target);
        record(`client: GET ${target}: ${status} ${text}`);
        return text;
    }

    record(`operator: config ${config.version}, route of ${prefix}: ${route.name} (maxAttempts ${route.maxAttempts})`);
    const { status } = await call(entry.front, "POST", prefix + target, {
        body: { spec: target, steps: [{ count: 1, cpu: 1800, memMb: 256, estimateMs: 800 }] },
    });
    record(`client: POST ${target}: ${status}`);
    await pause(400);
    if (hasTrouble) {
        putConfig(config.version + 4, [{ ...route, name: `${route.name}-2` }]);
        await pause(4000);
        putConfig(config.version + 9, [route]);
    }
    else {
        await pause(4000);
    }
    await readState();
    await pause(6000);
    const state = await readState();
    const failed = world.runs.filter(({ task, how }) => task.startsWith(target) && how === "failed").length;
    record(`runs that ended failed: ${failed}; maxAttempts of every config: ${route.maxAttempts}`);
    return state.includes("\"failed\"") && failed < route.maxAttempts;
});
