import { createSecret } from "../../src/keys";
import { callHttp } from "./callHttp";
import { keepOutput } from "./keepOutput";
import { findFreePort, type Process, startProcess } from "./startProcess";

export interface FleetOptions {
    /** Zone of each worker. */
    readonly workerZones: readonly string[];
    /** Zone of each entry. */
    readonly entryZones: readonly string[];
    /** Further flags for every entry. */
    readonly entryFlags?: readonly string[];
    /** Flags of the runtime of every entry. */
    readonly entryNodeFlags?: readonly string[];
}

export interface EntryProcess {
    readonly name: string;
    readonly zone: string;
    readonly url: string;
    readonly process: Process;
    readonly args: readonly string[];
}

export interface WorkerProcess {
    readonly name: string;
    readonly zone: string;
    readonly url: string;
    readonly process: Process;
}

/** A platform, workers and entries, each a process of its own on loopback. */
export interface Fleet {
    readonly platform: { readonly url: string; readonly process: Process; };
    readonly workers: readonly WorkerProcess[];
    readonly entries: EntryProcess[];
    readonly operatorCredential: string;
    /** Starts one more entry; its own flags go before those of the fleet. */
    startEntry(zone: string, ownFlags?: Readonly<Record<string, string>>): Promise<EntryProcess>;
    /** Starts an entry whose process has ended again, under its name and at its addresses. */
    restartEntry(entry: EntryProcess): Promise<EntryProcess>;
    /** Sends a request to an entry as the operator. */
    operate(
        entry: EntryProcess,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body?: unknown,
    ): ReturnType<typeof callHttp>;
    /** States an intent at an entry and confirms its plan. */
    carryOut(entry: EntryProcess, intent: unknown): Promise<unknown>;
    /** Every start of a task at a worker, by the worker's own account. */
    listStarts(
        worker: WorkerProcess,
    ): Promise<readonly { payload: string; team: string; pool: string; attempt: string; }[]>;
    /**
     * Ends every process of the fleet, by its id. Where `SAMPHIREPIN_KEEP_OUTPUT` names a folder, their output, the
     * entries' metrics and the store's values are written there first.
     */
    stop(): Promise<void>;
}

async function startListening(file: string): Promise<{ process: Process; url: string; }> {
    const started = startProcess(file, []);
    const port = (await started.waitForLine("listening")).split(" ")[1];
    return { process: started, url: `http://127.0.0.1:${port}` };
}

export async function startFleet(opts: FleetOptions): Promise<Fleet> {
    const operator = createSecret();
    const platform = await startListening("standins/platform/main.ts");
    const workers = await Promise.all(opts.workerZones.map(async (zone, at) => {
        const name = `worker-${at + 1}`;
        return { name, zone, ...await startListening("standins/worker/main.ts") };
    }));
    const entries: EntryProcess[] = [];

    async function startEntry(zone: string, ownFlags: Readonly<Record<string, string>> = {}): Promise<EntryProcess> {
        const [port, peerPort] = [await findFreePort(), await findFreePort()];
        const name = `entry-${entries.length + 1}`;
        const flags = {
            instance: name,
            region: "north",
            zone,
            port,
            "peer-port": peerPort,
            "platform-url": platform.url,
            "operator-hash": operator.hash,
            ...ownFlags,
        };
        const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
        return runEntry({ name, zone, url: `http://127.0.0.1:${port}`, args: [...args, ...opts.entryFlags ?? []] });
    }

    async function runEntry(settings: Omit<EntryProcess, "process">): Promise<EntryProcess> {
        const started = startProcess("src/cli/main.ts", ["entry", ...settings.args], opts.entryNodeFlags);
        await started.waitForLine("\"started\"");
        const entry = { ...settings, process: started };
        entries.push(entry);
        return entry;
    }

    const fleet: Fleet = {
        platform,
        workers,
        entries,
        operatorCredential: operator.text,
        startEntry,
        restartEntry: ({ name, zone, url, args }) => runEntry({ name, zone, url, args }),
        operate: (entry, method, path, body) => callHttp(method, entry.url + path, operator.text, body),
        async carryOut(entry, intent) {
            const plan = await fleet.operate(entry, "POST", "/operator/plans", intent);
            if (plan.status !== 200) {
                throw new Error(`the plan was refused: ${JSON.stringify(plan.body)}`);
            }
            const confirmed = await fleet.operate(entry, "POST", `/operator/plans/${plan.body.id}/confirm`, {});
            if (confirmed.status !== 200) {
                throw new Error(`the confirmation was refused: ${JSON.stringify(confirmed.body)}`);
            }
            return confirmed.body;
        },
        listStarts: async ({ url }) => (await callHttp("POST", `${url}/control`, undefined, {})).body.starts,
        async stop() {
            const keepDir = process.env["SAMPHIREPIN_KEEP_OUTPUT"];
            if (keepDir !== undefined) {
                await keepOutput(keepDir, { platform, workers, entries });
            }
            const all = [
                platform.process,
                ...workers.map((worker) => worker.process),
                ...entries.map((entry) => entry.process),
            ];
            all.forEach((each) => each.kill("SIGKILL"));
            await Promise.all(all.map((each) => each.exited));
        },
    };
    for (const zone of opts.entryZones) {
        await startEntry(zone);
    }
    return fleet;
}
