/** Submissions that can never run, because no worker has the label that they need, come before one that can. */
import { bounds, callClient, createConfig, runCase, startFleet } from "../fleet-2.mjs";
import { createWorkers, pause, serve, startStore } from "../platform-2.mjs";

const key = "key-giza";
const hopeless = { count: 5, cpu: 1000, memMb: 512, estimateMs: 900, longRunning: true, requiredLabel: "b" };
const usual = { count: 2, cpu: 1000, memMb: 512, estimateMs: 800 };
const usualId = "5c0e7a21d94b36f8";

/** Small submissions of the traffic; each thirty-third of them can never run: 9 of 300, a share of 0.03. */
const small = { count: 1, cpu: 1000, memMb: 256, estimateMs: 200 };
const trafficCount = 300;
const hopelessEach = 33;
const trafficIntervalMs = 80;

await runCase(import.meta.url, async ({ note, events }, onClose, hasTrouble) => {
    const store = await startStore();
    onClose(() => store.close());
    const cloud = await serve(({ call }) =>
        call === "GET /machines" ? { status: 200, body: { machines: [], nextToken: "" } } : { status: 503 }
    );
    onClose(() => cloud.close());
    store.put("op/config", createConfig({ services: ["ordre"] }));
    const workers = createWorkers({
        store,
        note,
        taskOf: (task) => ({ workMs: task.startsWith(usualId) ? 800 : 200 }),
        bounds: { maxHoldMs: bounds.maxHoldMs, gangTimeoutMs: bounds.gangTimeoutMs, checkpointMs: 1000 },
    });
    onClose(() => workers.close());
    for (const name of ["worker-1", "worker-2", "worker-3", "worker-4", "worker-5", "worker-6"]) {
        await workers.add({ id: name, service: "ordre" });
    }
    const fleet = await startFleet({
        names: ["entry-1", "entry-2", "entry-3"],
        storeAddress: store.address,
        cloudAddress: cloud.address,
        note,
    });
    onClose(() => fleet.close());
    if (!await fleet.waitReady()) {
        throw new Error("the daemons did not become ready");
    }
    await pause(4000);
    const [entry] = fleet.daemons;
    const submit = (id, steps) =>
        callClient(entry, note, { method: "POST", path: `/ordre/${id}`, key, body: { spec: "blend", steps } });
    const answers = [];
    for (let at = 1; at <= trafficCount; at++) {
        const isHopeless = hasTrouble && at % hopelessEach === 0;
        answers.push(submit(at.toString(16).padStart(16, "0"), [isHopeless ? hopeless : small]));
        await pause(trafficIntervalMs);
    }
    if ((await Promise.all(answers)).some(({ status }) => status !== 200)) {
        throw new Error("a submission was not accepted");
    }
    await pause(1000);
    if ((await submit(usualId, [usual])).status !== 200) {
        throw new Error("the submission was not accepted");
    }
    // From `finish_s` after the end of the traffic on, nothing may run for 3 s only for lack of capacity.
    await pause(bounds.finish_s * 1000);
    const begunBefore = events.filter(({ kind, task }) => kind === "start" && task.startsWith(usualId)).length;
    await pause(10_000);
    const begun = events.filter(({ kind, task }) => kind === "start" && task.startsWith(usualId)).length;
    const { body } = await callClient(entry, note, { method: "GET", path: `/ordre/${usualId}`, key });
    note({
        kind: "summary",
        begunBefore,
        begun,
        running: [...workers.workers.values()].map(({ id, runs }) => [id, runs.size]),
    });
    return begun === 0 && body.state !== "complete"
        ? [`LOST: ${
            bounds.finish_s + 10
        } s after it was accepted the submission is ${body.state}; none of its tasks has run, and all workers are empty`]
        : [];
});
