import { callHttp, createPoolIntent, type Fleet, startFleet } from "../../standins/processes";
import { createRandom, type Random } from "../../standins/random";
import type { Experiment, ExperimentOptions, ExperimentRow } from "../experiment";
import { readResidentMb } from "./readResidentMb";

const zones = ["zone-a", "zone-b", "zone-c"] as const;
const quickMs = 30_000;
const fullMs = 180_000;
const sendEveryMs = 20;
const faultEveryMs = 4000;
const freezeMs = 2500;
const settleMs = 15_000;
const teamLimit = 20;

interface Tally {
    sent: number;
    answered: number;
    notRun: number;
    unknown: number;
    /** The connection broke: the caller knows nothing. */
    broken: number;
    /** A request that may not be repeated was started more than once. */
    doubled: number;
    /** A request told as "not run" was started. */
    untrue: number;
    kills: number;
    freezes: number;
    outages: number;
}

/** Real processes on loopback, faults by seed: kill -9 with a restart, SIGSTOP and SIGCONT, platform outages. */
export const soak: Experiment = {
    name: "soak",
    description:
        "real processes under faults by seed; aim: nothing doubled, no untrue \"not run\", no growth of memory",
    run: (opts) => runSoak(opts),
};

async function runSoak({ seed, isQuick }: ExperimentOptions): Promise<readonly ExperimentRow[]> {
    const random = createRandom(seed);
    const fleet = await startFleet({
        workerZones: zones.flatMap((zone) => [zone, zone, zone]),
        entryZones: [...zones],
        entryFlags: ["--task-lease-ms", "3000"],
    });
    try {
        const key = await setUp(fleet);
        const startMb = await memoryOf(fleet);
        const tally = await load(fleet, key, random, isQuick ? quickMs : fullMs);
        const endMb = await memoryOf(fleet);
        return [{
            setting: `9 workers, 3 entries, seed ${seed}`,
            way: "samphirepin",
            figures: { ...tally, entryResidentStartMb: startMb, entryResidentEndMb: endMb },
        }];
    }
    finally {
        await fleet.stop();
    }
}

async function setUp(fleet: Fleet): Promise<string> {
    const [entry] = fleet.entries;
    if (entry === undefined) {
        throw new Error("no entry was started");
    }
    const teams = [{ name: "stables", tasks: teamLimit }];
    await fleet.carryOut(entry, createPoolIntent(fleet, { pool: "stalls", teams, maxUnavailable: 2 }));
    return (await fleet.operate(entry, "POST", "/operator/keys", { team: "stables" })).body.key;
}

async function load(fleet: Fleet, key: string, random: Random, durationMs: number): Promise<Tally> {
    const tally: Tally = {
        sent: 0,
        answered: 0,
        notRun: 0,
        unknown: 0,
        broken: 0,
        doubled: 0,
        untrue: 0,
        kills: 0,
        freezes: 0,
        outages: 0,
    };
    const toldNotRun = new Set<string>();
    const pending = new Set<Promise<void>>();
    const endAtMs = Date.now() + durationMs;
    let nextFaultAtMs = Date.now() + faultEveryMs;
    while (Date.now() < endAtMs) {
        if (Date.now() >= nextFaultAtMs) {
            nextFaultAtMs += faultEveryMs;
            void strike(fleet, random, tally);
        }
        const sending = send(fleet, key, random, tally, toldNotRun);
        pending.add(sending);
        void sending.finally(() => pending.delete(sending));
        await sleep(sendEveryMs);
    }
    await Promise.all(pending);
    await sleep(settleMs);
    await judge(fleet, tally, toldNotRun);
    return tally;
}

async function send(fleet: Fleet, key: string, random: Random, tally: Tally, toldNotRun: Set<string>): Promise<void> {
    const id = ++tally.sent;
    const repeatable = random.chance(60);
    const entry = random.pick(fleet.entries);
    const payload = `run ${random.int(5, 400)} ${repeatable ? "repeat" : "once"} ${id}`;
    try {
        const { body } = await callHttp("POST", `${entry.url}/v1/tasks`, key, {
            pool: "stalls",
            size: { processors: 1, memoryMb: 100 },
            expectedRunMs: 200,
            deadlineMs: 5000,
            repeatable,
            ...repeatable ? {} : { idempotencyKey: `soak-key-${id}` },
            payload,
        });
        switch (body.outcome) {
            case "answered":
                tally.answered++;
                return;
            case "not run":
                tally.notRun++;
                toldNotRun.add(payload);
                return;
            default:
                tally.unknown++;
                return;
        }
    }
    catch {
        tally.broken++;
    }
}

/** One fault: an entry killed and replaced, an entry frozen and woken, or the platform down for a while. */
async function strike(fleet: Fleet, random: Random, tally: Tally): Promise<void> {
    const at = random.int(0, fleet.entries.length - 1);
    const entry = fleet.entries[at];
    if (entry === undefined) {
        return;
    }
    switch (random.int(1, 3)) {
        case 1:
            tally.kills++;
            entry.process.kill("SIGKILL");
            fleet.entries.splice(at, 1);
            await fleet.startEntry(entry.zone);
            return;
        case 2:
            tally.freezes++;
            entry.process.kill("SIGSTOP");
            await sleep(freezeMs);
            entry.process.kill("SIGCONT");
            return;
        default:
            tally.outages++;
            await callHttp("POST", `${fleet.platform.url}/control`, undefined, { faults: { isDown: true } });
            await sleep(freezeMs);
            await callHttp("POST", `${fleet.platform.url}/control`, undefined, { faults: { isDown: false } });
    }
}

async function judge(fleet: Fleet, tally: Tally, toldNotRun: ReadonlySet<string>): Promise<void> {
    const starts = (await Promise.all(fleet.workers.map((worker) => fleet.listStarts(worker)))).flat();
    const counts = new Map<string, number>();
    starts.forEach(({ payload }) => counts.set(payload, (counts.get(payload) ?? 0) + 1));
    for (const [payload, count] of counts) {
        tally.doubled += payload.includes("once") && count > 1 ? 1 : 0;
        tally.untrue += toldNotRun.has(payload) ? 1 : 0;
    }
}

/** Mean resident memory of the entries, in megabytes. */
async function memoryOf(fleet: Fleet): Promise<number> {
    const all = fleet.entries.map(({ process: { pid } }) => readResidentMb(pid));
    return Math.round(all.reduce((sum, mb) => sum + mb, 0) / all.length);
}

function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
