import { spawn } from "node:child_process";
import { openSync } from "node:fs";
import { callHttp, findFreePort, type Fleet } from "../../standins/processes";

export interface BenchEntry {
    readonly url: string;
    readonly pid: number;
    stop(): void;
}

const readyPollMs = 50;
const readyPolls = 400;

/** Starts an entry whose log lines go to a sink, so that nobody's reading of them is measured. */
export async function startEntry(fleet: Fleet, logLevel: string, name: string): Promise<BenchEntry> {
    const [port, peerPort] = [await findFreePort(), await findFreePort()];
    const flags = {
        instance: name,
        region: "north",
        zone: "zone-a",
        port,
        "peer-port": peerPort,
        "platform-url": fleet.platform.url,
        "log-level": logLevel,
        "max-entries": 1,
    };
    const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
    const sink = openSync("/dev/null", "w");
    const all = ["--import", "tsx", "src/cli/main.ts", "entry", ...args];
    const child = spawn(process.execPath, all, { stdio: ["ignore", sink, "inherit"] });
    const url = `http://127.0.0.1:${port}`;
    await waitUntilReady(url);
    return { url, pid: child.pid ?? 0, stop: () => void child.kill("SIGKILL") };
}

async function waitUntilReady(url: string): Promise<void> {
    for (let poll = 0; poll < readyPolls; poll++) {
        const status = await callHttp("GET", `${url}/ready`).then((answer) => answer.status, () => 0);
        if (status === 200) {
            return;
        }
        await new Promise((resolve) => setTimeout(resolve, readyPollMs));
    }
    throw new Error(`no entry became ready at ${url}`);
}
