/** The platform leaves an upkeep order unanswered, refuses its repetition and carries the first one out late. */
import { bounds, callClient, createConfig, runCase, startFleet } from "../fleet-2.mjs";
import { createWorkers, pause, startCloud, startStore } from "../platform-2.mjs";

/** How much later the unanswered order is carried out, in milliseconds. */
const lateMs = 3400;

const maxDown = 1;

/** Three of the four machines are busy from 2.3 s after the wave was asked for. */
const busyAfterMs = 2300;
const busy = { count: 3, cpu: 50_000, memMb: 1024, estimateMs: 4000 };

await runCase(import.meta.url, async ({ note, events }, onClose, hasTrouble) => {
    const store = await startStore();
    onClose(() => store.close());
    store.put("op/config", createConfig({ services: ["ordre"] }));
    const workers = createWorkers({
        store,
        note,
        taskOf: () => ({ workMs: 4000 }),
        bounds: { maxHoldMs: bounds.maxHoldMs, gangTimeoutMs: bounds.gangTimeoutMs, checkpointMs: 1000 },
    });
    onClose(() => workers.close());
    const upkeepOrders = new Map();
    const cloud = await startCloud({
        workers,
        note,
        bounds: { maintenanceMs: bounds.maintenanceS * 1000, moveMs: bounds.migrateS * 1000 },
        treat(call, { machine }) {
            if (
                !hasTrouble || call !== "POST /machine-upkeep" || (upkeepOrders.size > 0 && !upkeepOrders.has(machine))
            ) {
                return undefined;
            }
            const count = (upkeepOrders.get(machine) ?? 0) + 1;
            upkeepOrders.set(machine, count);
            return count === 1 ? { lateMs } : count === 2 ? 503 : undefined;
        },
    });
    onClose(() => cloud.close());
    const ids = ["m-1", "m-2", "m-3", "m-4"];
    for (const id of ids) {
        await cloud.addMachine(id, "ordre");
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
    store.put("op/wave/1", { wave: 1, machines: ids, completeByS: 40, cap: maxDown });
    note({ kind: "waveAsked", machines: ids, cap: maxDown });
    await pause(busyAfterMs);
    const posted = await callClient(fleet.daemons[0], note, {
        method: "POST",
        path: "/ordre/5c0e7a21d94b36f8",
        key: "key-giza",
        body: { spec: "blend", steps: [busy] },
    });
    if (posted.status !== 200) {
        throw new Error("the submission was not accepted");
    }
    for (let waitedMs = 0; waitedMs < 60_000 && store.get("status/wave/1")?.state !== "complete"; waitedMs += 250) {
        await pause(250);
    }
    note({ kind: "waveStatus", status: store.get("status/wave/1") });
    if (!events.some(({ kind }) => kind === "upkeepBegins")) {
        throw new Error("no upkeep began");
    }
    return events
        .filter(({ kind, downNow }) => kind === "upkeepBegins" && downNow.length >= maxDown)
        .map(({ atS, machine, downNow }) =>
            `LIMIT: the upkeep of ${machine} begins at ${atS} s while ${downNow} is down`
        );
});
