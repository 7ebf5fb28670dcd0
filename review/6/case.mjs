/** Large submissions come at once. The daemons are started again whenever they end, as the platform does. */
import { bounds, callClient, createConfig, runCase, startFleet } from "../fleet-2.mjs";
import { createWorkers, pause, serve, startStore } from "../platform-2.mjs";

const key = "key-giza";
const usual = { count: 2, cpu: 1000, memMb: 512, estimateMs: 800 };
const usualId = "5c0e7a21d94b36f8";
const large = { count: 50_000, cpu: 100, memMb: 16, estimateMs: 100 };
const largeCount = 4;

/** Time after which the platform starts a process that has ended, in milliseconds. */
const restartMs = 500;

/** A program that ends by itself this often in a day is at fault. */
const maxOwnEnds = 3;

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
        taskOf: (task) => ({ workMs: task.startsWith(usualId) ? 800 : 100 }),
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
    const restarting = setInterval(() => {
        fleet.daemons.filter((daemon) => !daemon.isRunning()).forEach((daemon) => daemon.start());
    }, restartMs);
    onClose(() => clearInterval(restarting));
    const submit = (id, steps) =>
        callClient(fleet.daemons[0], note, {
            method: "POST",
            path: `/ordre/${id}`,
            key,
            body: { spec: "blend", steps },
        });
    /** Sends a submission again, to each daemon in turn, while it has no answer: a daemon may have ended meanwhile. */
    async function submitLarge(id) {
        for (let attempt = 0; attempt < 12; attempt++) {
            const daemon = fleet.daemons[attempt % fleet.daemons.length];
            const body = { spec: "blend", steps: [large] };
            const { status } = await callClient(daemon, note, { method: "POST", path: `/ordre/${id}`, key, body });
            if (status === 200) {
                return true;
            }
            await pause(300);
        }
        return false;
    }

    if ((await submit(usualId, [{ ...usual, count: 40 }, { ...usual, after: [0] }])).status !== 200) {
        throw new Error("the submission was not accepted");
    }
    const larges = Array.from(
        { length: hasTrouble ? largeCount : 0 },
        (_, at) => submitLarge(`000000000000000${at + 1}`),
    );
    if (!(await Promise.all(larges)).every(Boolean)) {
        throw new Error("a large submission was not accepted");
    }
    await pause(40_000);
    clearInterval(restarting);
    const broken = [];
    const crashed = fleet.daemons.filter(({ name }) =>
        events.filter(({ kind, name: ended }) => kind === "processEnded" && ended === name).length >= maxOwnEnds
    );
    if (crashed.length >= 2) {
        broken.push(`Fault: ${crashed.map(({ name }) => name)} ended by themselves ${maxOwnEnds} times or more`);
    }
    const answers = await Promise.all(
        fleet.daemons.map((daemon) => callClient(daemon, note, { method: "GET", path: `/ordre/${usualId}`, key })),
    );
    if (answers.every(({ body }) => body.state !== "complete")) {
        broken.push("LOST: the submission that came before them is not complete 40 s later");
    }
    return broken;
});
