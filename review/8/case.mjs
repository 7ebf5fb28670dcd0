/** A queue's policy allows one of 35 workers to run a step, and it is not among the first 30 of the pool. */
import { bounds, callClient, createConfig, runCase, startFleet } from "../fleet-2.mjs";
import { createWorkers, pause, serve, startStore } from "../platform-2.mjs";

const key = "key-giza";
const id = "5c0e7a21d94b36f8";
const step = { count: 2, cpu: 1000, memMb: 512, estimateMs: 800 };
const advice = { decisionMs: 50, perWorkerMs: 5, validityMs: 3000 };
const workerCount = 35;

await runCase(import.meta.url, async ({ note, events }, onClose, hasTrouble) => {
    const store = await startStore();
    onClose(() => store.close());
    const cloud = await serve(({ call }) =>
        call === "GET /machines" ? { status: 200, body: { machines: [], nextToken: "" } } : { status: 503 }
    );
    onClose(() => cloud.close());
    const config = createConfig({ services: ["ordre"] });
    store.put("op/config", { ...config, routes: config.routes.map((route) => ({ ...route, advice })) });
    const workers = createWorkers({
        store,
        note,
        taskOf: () => ({ workMs: 800 }),
        bounds: { maxHoldMs: bounds.maxHoldMs, gangTimeoutMs: bounds.gangTimeoutMs, checkpointMs: 1000 },
    });
    onClose(() => workers.close());
    const ids = Array.from({ length: workerCount }, (_, at) => `worker-${String(at + 1).padStart(2, "0")}`);
    for (const name of ids) {
        await workers.add({ id: name, service: "ordre" });
    }
    const allowed = hasTrouble ? ids.at(-1) : ids.at(0);
    let lastDecision = Promise.resolve();
    const adviser = await serve(({ body }) => {
        lastDecision = lastDecision.then(async () => {
            await pause(advice.decisionMs + advice.perWorkerMs * body.workers.length);
            const good = body.workers.filter((worker) => worker === allowed).map((
                worker,
            ) => [worker, `ticket-${worker}`]);
            note({ kind: "advice", step: body.step, workers: body.workers, good });
            return { status: 200, body: { good, validityMs: advice.validityMs } };
        });
        return lastDecision;
    });
    onClose(() => adviser.close());
    const fleet = await startFleet({
        names: ["entry-1", "entry-2", "entry-3"],
        storeAddress: store.address,
        cloudAddress: cloud.address,
        note,
        settings: { advice: adviser.address },
    });
    onClose(() => fleet.close());
    if (!await fleet.waitReady()) {
        throw new Error("the daemons did not become ready");
    }
    await pause(5000);
    const [entry] = fleet.daemons;
    const posted = await callClient(entry, note, {
        method: "POST",
        path: `/ordre/${id}`,
        key,
        body: { spec: "blend", steps: [step] },
    });
    if (posted.status !== 200) {
        throw new Error("the submission was not accepted");
    }
    // From `finish_s` after the end of the traffic on, nothing may run for 3 s only for lack of capacity.
    await pause((bounds.finish_s + 10) * 1000);
    const asked = events.filter(({ kind }) => kind === "advice");
    const hasStarted = events.some(({ kind }) => kind === "start");
    const { body } = await callClient(entry, note, { method: "GET", path: `/ordre/${id}`, key });
    if (asked.length === 0) {
        throw new Error("no advice was asked for");
    }
    return !hasStarted && body.state !== "complete"
        ? [
            `LOST: ${
                bounds.finish_s + 10
            } s after it was accepted the submission is ${body.state}. Advice was asked for `
            + `${asked.length} times, never on ${allowed}, which may run it and is empty`,
        ]
        : [];
});
