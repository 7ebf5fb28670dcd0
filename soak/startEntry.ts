import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "yaml";
import { settingsFileVariable } from "../platform";
import { pause } from "../src/clock";
import { encodeNodeSettings } from "../standins/usersPlatform";
import { type Proxy, startProxy } from "./createProxy";

export interface EntryOptions {
    readonly name: string;
    readonly zone: string;
    /** Own address on loopback; ports are the same for all entries. */
    readonly host: string;
    /** Folder for the settings file and the log. */
    readonly folder: string;
    readonly storeAddress: string;
    readonly machinesAddress: string;
    /** First port of this soak. */
    readonly port: number;
    /** Flags of the runtime, such as a limit on its heap. */
    readonly nodeFlags?: readonly string[];
    /** Further fields of the settings file. */
    readonly extraSettings?: Readonly<Record<string, unknown>>;
}

/** One entry as a process of its own, with bad paths to the store and to its clients. */
export interface Entry {
    readonly name: string;
    /** Where it takes clients, without the path that may be bad. */
    readonly clientAddress: string;
    readonly readinessAddress: string;
    readonly metricsAddress: string;
    /** Where it takes links of other entries. */
    readonly peerUrl: string;
    readonly toStore: Proxy;
    readonly fromClients: Proxy;
    isRunning(): boolean;
    /** Process id; `undefined` while the process is not running. */
    pid(): number | undefined;
    /** Whether the process says that it takes clients. */
    isReady(): Promise<boolean>;
    signal(signal: NodeJS.Signals): void;
    /** Starts the process again once it has ended. */
    restart(): Promise<void>;
    /** Ends the process for good. */
    close(): void;
}

export const daemonFile = "target/samphirepin.cjs";

/** What the platform gives after SIGTERM, in seconds. */
export const graceS = 6;

/** How long a key that was taken away may still be taken, in milliseconds. */
export const revokeMs = 5000;

/** How long after its confirmation a configuration has to be in force, in milliseconds. */
export const configApplyMs = 2000;

export async function startEntry(opts: EntryOptions): Promise<Entry> {
    const { name, folder } = opts;
    const toStore = await startProxy(`from ${name}`, opts.storeAddress);
    const settingsFile = join(folder, `${name}.yaml`);
    const settings = encodeNodeSettings({ ...opts, storeAddress: toStore.address, graceS, revokeMs, configApplyMs });
    writeFileSync(settingsFile, stringify({ ...settings, ...opts.extraSettings }));
    const log = createWriteStream(join(folder, `${name}.log`));
    const fromClients = await startProxy(`to ${name}`, settings.listen.front);
    let child: ChildProcess | undefined;
    let isClosed = false;

    function start(): void {
        if (isClosed) {
            return;
        }
        const started = spawn(process.execPath, [...opts.nodeFlags ?? [], daemonFile], {
            env: { PATH: process.env["PATH"], [settingsFileVariable]: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        started.stdout.pipe(log, { end: false });
        started.stderr.pipe(log, { end: false });
        started.on("exit", () => child = undefined);
        child = started;
    }

    async function isReady(): Promise<boolean> {
        try {
            const answer = await fetch(`http://${settings.listen.ready}/ready`, { signal: AbortSignal.timeout(300) });
            return answer.status === 200;
        }
        catch {
            // Down, stopped or starting: not ready, which is all that is asked.
            return false;
        }
    }

    start();
    return {
        name,
        clientAddress: settings.listen.front,
        readinessAddress: settings.listen.ready,
        metricsAddress: settings.listen.control,
        peerUrl: `ws://${opts.host}:${settings.portRange[0]}`,
        toStore,
        fromClients,
        isRunning: () => child !== undefined,
        pid: () => child?.pid,
        isReady,
        signal: (signal) => void child?.kill(signal),
        async restart() {
            while (child !== undefined) {
                await pause(20);
            }
            start();
        },
        close() {
            isClosed = true;
            // A process that was stopped by SIGSTOP ends by SIGKILL as well.
            child?.kill("SIGKILL");
            toStore.close();
            fromClients.close();
        },
    };
}
