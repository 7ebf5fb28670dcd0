import { startFleet } from "../standins/processes";
import { createReport } from "./createReport";
import { followPlan, sendTask, waitUntil } from "./steps";

/**
 * `npm run demo`: a platform, six workers in three zones and three entries as separate processes; work for two teams, a
 * withdrawn key, a moved instance, a maintenance wave, and an entry killed with work running.
 */

const report = createReport();

const teams = [
    { name: "stables", weight: 3, tasks: 12 },
    { name: "blenders", weight: 1, tasks: 4 },
];

async function main(): Promise<void> {
    const fleet = await startFleet({
        workerZones: ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"],
        entryZones: ["zone-a", "zone-b", "zone-c"],
        entryFlags: ["--task-lease-ms", "3000"],
    });
    try {
        await tell(fleet);
    }
    finally {
        await fleet.stop();
    }
}

type Fleet = Awaited<ReturnType<typeof startFleet>>;

async function tell(fleet: Fleet): Promise<void> {
    const [first, second, third] = fleet.entries;
    if (first === undefined || second === undefined || third === undefined) {
        throw new Error("the fleet has fewer than three entries");
    }
    report.section("Processes");
    report.line(`platform: process ${fleet.platform.process.pid}`);
    fleet.workers.forEach(({ name, zone, process: { pid } }) => report.line(`${name} in ${zone}: process ${pid}`));
    fleet.entries.forEach(({ name, zone, process: { pid } }) => report.line(`${name} in ${zone}: process ${pid}`));

    report.section("An intent, its plan, and its confirmation");
    await fleet.carryOut(first, {
        reason: "open for business",
        pools: [{ name: "stalls", maxUnavailable: 1 }, { name: "spare", maxUnavailable: 1 }],
        teams: teams.map(({ name, weight, tasks }) => ({
            name,
            weight,
            limit: { tasks, processors: 1000, memoryMb: 1_000_000, accelerators: 0 },
            pools: ["stalls", "spare"],
        })),
        instances: fleet.workers.map(({ name, url, zone }, at) => ({
            name,
            url,
            zone,
            region: "north",
            rack: `rack-${zone}`,
            slots: 8,
            capacity: { processors: 32, memoryMb: 128_000 },
            pool: at < 5 ? "stalls" : "spare",
        })),
    });
    const keys = new Map<string, { key: string; keyId: string; }>();
    for (const { name } of teams) {
        keys.set(name, (await fleet.operate(first, "POST", "/operator/keys", { team: name })).body);
    }
    report.line("two pools, two teams, six instances, and a key for each team are in force");

    report.section("Work for two teams through every entry");
    const keyOf = (team: string) => keys.get(team)?.key ?? "";
    const allKnow = async () => {
        const answers = await Promise.all(
            fleet.entries.map(({ url }) => sendTask(url, keyOf("blenders"), { payload: "run 1 ready" })),
        );
        return answers.every(({ status }) => status === 200);
    };
    await waitUntil("every entry serves", allKnow);
    const sent = await Promise.all(
        fleet.entries.flatMap(({ url }) =>
            teams.flatMap(({ name }) =>
                [1, 2, 3].map((n) => sendTask(url, keyOf(name), { payload: `run 200 ${name} ${n}` }))
            )
        ),
    );
    report.line(`${sent.filter(({ status }) => status === 200).length} of ${sent.length} tasks answered`);
    report.line(`by ${[...new Set(sent.map(({ body }) => body.instance))].sort().join(", ")}`);

    report.section("A key is withdrawn");
    const withdrawnAtMs = Date.now();
    await fleet.operate(second, "DELETE", `/operator/keys/${keys.get("blenders")?.keyId}`);
    const refusedBy = async (url: string) =>
        (await sendTask(url, keyOf("blenders"), { payload: "late" })).status === 401;
    for (const { name, url } of fleet.entries) {
        await waitUntil(`${name} refuses the key`, () => refusedBy(url));
        report.line(`${name} refuses it, ${Date.now() - withdrawnAtMs} ms after the request to withdraw`);
    }

    report.section("An instance moves to another pool with work running");
    const running = Promise.all(
        [1, 2, 3, 4, 5].map((n) => sendTask(first.url, keyOf("stables"), { payload: `run 1500 moving ${n}` })),
    );
    const move = await fleet.carryOut(second, { reason: "more spare", moves: [{ instance: "worker-1", to: "spare" }] });
    report.line(await followPlan(fleet, second, move));
    const during = await running;
    report.line(
        `${during.filter(({ status }) => status === 200).length} of ${during.length} tasks that ran meanwhile answered`,
    );

    report.section("A maintenance wave over pool stalls, and a killed entry");
    const wave = await fleet.carryOut(third, { reason: "new kernel", wave: { pools: ["stalls"] } });
    const payment = { payload: "run 2500 payment", repeatable: false, idempotencyKey: "invoice-2026-0042" };
    const paid = sendTask(third.url, keyOf("stables"), payment)
        .then(({ status, body }) => `${status} ${body.outcome ?? ""}`, () => "the connection broke");
    await waitUntil("the payment runs", async () => (await startsOf(fleet, "payment")) === 1);
    third.process.kill("SIGKILL");
    report.line(`${third.name} (process ${third.process.pid}) killed with the payment running: ${await paid}`);
    const again = await sendTask(first.url, keyOf("stables"), payment);
    report.line(
        `the caller asks again at ${first.name}: ${again.status} ${
            again.body.code ?? ""
        }, outcome "${again.body.outcome}"`,
    );
    report.line(`the payment has started ${await startsOf(fleet, "payment")} time(s)`);
    report.line(await followPlan(fleet, first, wave));
    const after = await sendTask(first.url, keyOf("stables"), { payload: "run 10 after" });
    report.line(`a task after the wave: ${after.status} ${after.body.outcome}`);
}

/** How often a task with this text in its payload was started, by the workers' own count. */
async function startsOf(fleet: Fleet, text: string): Promise<number> {
    const counts = await Promise.all(fleet.workers.map((worker) => fleet.listStarts(worker)));
    return counts.flat().filter(({ payload }) => payload.includes(text)).length;
}

main().then(
    () => process.stdout.write(report.text()),
    (error: unknown) => {
        process.stdout.write(report.text());
        process.stderr.write(`the demo failed: ${error instanceof Error ? error.stack : String(error)}\n`);
        process.exitCode = 1;
    },
);
