import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { type Fleet, startFleet } from "../../standins/processes";
import type { Experiment, ExperimentRow, Figures } from "../experiment";
import { type LoadResult, measureClosed, measureOpen } from "./measureLoad";
import { readProcess } from "./readProcess";
import { startEntry } from "./startEntry";

const workers = 4;
const atOnce = 24;
const size = { processors: 1, memoryMb: 100, accelerators: 0 };

type Send = (at: number) => Promise<boolean>;

interface Way {
    readonly name: string;
    readonly send: Send;
    /** The process that does what a direct call does not; `undefined` for direct calls. */
    readonly entryPid?: number;
}

export const overheadExperiment: Experiment = {
    name: "overhead",
    description:
        "one entry against direct calls to the workers; aim: p99 at half load at most 1.5 times, requests per core at least 0.4 times",
    async run({ isQuick }) {
        const fleet = await startFleet({
            workerZones: Array.from({ length: workers }, () => "zone-a"),
            entryZones: ["zone-a"],
        });
        try {
            return await measureAll(fleet, isQuick ? 3000 : 10_000);
        }
        finally {
            await fleet.stop();
        }
    },
};

async function measureAll(fleet: Fleet, durationMs: number): Promise<readonly ExperimentRow[]> {
    const key = await prepare(fleet);
    const quiet = await startEntry(fleet, "error", "entry-quiet");
    const logging = await startEntry(fleet, "info", "entry-logging");
    const agent = new Agent({ connections: atOnce * 2, pipelining: 1 });
    try {
        const ways: readonly Way[] = [
            { name: "direct", send: (at) => sendDirect(fleet, agent, at) },
            { name: "one entry", send: () => sendThrough(logging.url, agent, key), entryPid: logging.pid },
            { name: "one entry, no log lines", send: () => sendThrough(quiet.url, agent, key), entryPid: quiet.pid },
        ];
        return await measureWays(fleet, ways, durationMs);
    }
    finally {
        quiet.stop();
        logging.stop();
        await agent.destroy();
    }
}

/** A first pass warms every process up; half load is half of what one entry could take, the same for all. */
async function measureWays(fleet: Fleet, ways: readonly Way[], durationMs: number): Promise<readonly ExperimentRow[]> {
    for (const { send } of ways) {
        await measureClosed(send, atOnce, durationMs / 2);
    }
    const full = new Map<string, { load: LoadResult; figures: Figures; }>();
    for (const way of ways) {
        full.set(way.name, await measureUse(fleet, way, () => measureClosed(way.send, atOnce, durationMs)));
    }
    const half = Math.floor((full.get("one entry")?.load.perSecond ?? 0) / 2);
    const rows: ExperimentRow[] = [];
    for (const way of ways) {
        const open = await measureUse(fleet, way, () => measureOpen(way.send, half, durationMs));
        const { load, figures } = full.get(way.name)!;
        rows.push({
            setting: `${atOnce} at once, then ${half} a second`,
            way: way.name,
            figures: {
                fullPerSecond: load.perSecond,
                fullP50Ms: load.p50Ms,
                fullP99Ms: load.p99Ms,
                ...figures,
                halfP50Ms: open.load.p50Ms,
                halfP99Ms: open.load.p99Ms,
                failures: load.failures + open.load.failures,
            },
        });
    }
    return rows;
}

async function measureUse(fleet: Fleet, { entryPid }: Way, run: () => Promise<LoadResult>) {
    const pids = fleet.workers.map(({ process }) => process.pid);
    const sum = () => pids.reduce((total, pid) => total + readProcess(pid).processorMs, 0);
    const [workersBefore, entryBefore] = [sum(), entryPid === undefined ? 0 : readProcess(entryPid).processorMs];
    const load = await run();
    const workerMs = (sum() - workersBefore) / load.requests;
    const entryMs = entryPid === undefined ? 0 : (readProcess(entryPid).processorMs - entryBefore) / load.requests;
    const figures = {
        workerProcessorMsPerRequest: round(workerMs),
        entryProcessorMsPerRequest: round(entryMs),
        perCoreOfTheServer: Math.round(1000 / (entryPid === undefined ? workerMs : entryMs)),
        entryResidentMb: entryPid === undefined ? 0 : Math.round(readProcess(entryPid).residentMb),
    };
    return { load, figures };
}

async function prepare(fleet: Fleet): Promise<string> {
    const entry = fleet.entries[0]!;
    await fleet.carryOut(entry, {
        pools: [{ name: "stalls", maxUnavailable: 1 }],
        teams: [{
            name: "stables",
            weight: 1,
            limit: { tasks: 1000, processors: 100_000, memoryMb: 100_000_000, accelerators: 0 },
            pools: ["stalls"],
        }],
        instances: fleet.workers.map(({ name, url, zone }) => ({
            name,
            url,
            zone,
            region: "north",
            rack: "rack-1",
            slots: 8,
            capacity: { processors: 32, memoryMb: 128_000 },
            pool: "stalls",
        })),
    });
    const granted = await fleet.operate(entry, "POST", "/operator/keys", { team: "stables" });
    return granted.body.key;
}

async function sendDirect(fleet: Fleet, agent: Agent, at: number): Promise<boolean> {
    const worker = fleet.workers[at % workers]!;
    const order = {
        attempt: randomUUID(),
        team: "stables",
        pool: "stalls",
        assignmentNumber: 1_000_000,
        leaseMs: 10_000,
        holder: "bench",
        size,
        payload: "run 0",
    };
    return post(`${worker.url}/tasks`, agent, {}, order);
}

function sendThrough(url: string, agent: Agent, key: string): Promise<boolean> {
    const task = { pool: "stalls", size, expectedRunMs: 1, deadlineMs: 5000, repeatable: true, payload: "run 0" };
    return post(`${url}/v1/tasks`, agent, { authorization: `Bearer ${key}` }, task);
}

async function post(
    url: string,
    agent: Agent,
    headers: Readonly<Record<string, string>>,
    body: unknown,
): Promise<boolean> {
    const response = await request(url, {
        method: "POST",
        dispatcher: agent,
        headers: { "content-type": "application/json", ...headers },
        body: JSON.stringify(body),
    });
    const text = await response.body.text();
    return response.statusCode === 200 && text.includes("done");
}

function round(number: number): number {
    return Math.round(number * 1000) / 1000;
}
