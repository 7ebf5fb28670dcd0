/** Starts the daemons of a small deployment as the deploy file does, calls them, and writes the record of a case. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { pause } from "./platform-2.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");

/** Host of all queues. */
const queueHost = "ordre.example";

/** Bounds of the settings, as in `kvl-ordre`. */
export const bounds = {
    seedLagS: 3,
    reuseAfterS: 2,
    contactMs: 3000,
    ackMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 6,
    lossSlackMs: 200,
    configApplyMs: 2000,
    rollbackSlackMs: 250,
    maxSkewMs: 5000,
    revokeStrict: true,
    revokeMs: 5000,
    quotaWindowS: 5,
    quotaOvershoot: 0.1,
    quotaSlack: 20,
    recoveryS: 12,
    maxHoldMs: 10_000,
    stopTimeoutMs: 900,
    gangTimeoutMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    remoteFactor: 2,
    checkpointIntervalS: 1,
    restoreMs: 100,
    noticeMs: 4500,
    migrateS: 1.5,
    maintenanceS: 2,
    fencingRequired: true,
    leaseMs: 3000,
    thawSlackMs: 300,
    paceMs: 100,
    harmMs: 4000,
};

/** The record of a case: what was sent, answered and run, with times in seconds. */
export function createRecord(caseUrl) {
    const file = join(dirname(fileURLToPath(caseUrl)), "record.txt");
    const startedAt = performance.now();
    writeFileSync(file, "");
    const events = [];
    return {
        events,
        note(event) {
            const atS = Math.round(performance.now() - startedAt) / 1000;
            events.push({ atS, ...event });
            appendFileSync(file, `${JSON.stringify({ atS, ...event })}\n`);
        },
        nowS: () => (performance.now() - startedAt) / 1000,
    };
}

/** A loopback address of its own for each daemon, so that cases that run side by side do not take each other's ports. */
function chooseHost() {
    const part = () => 1 + Math.floor(Math.random() * 250);
    return `127.${part()}.${part()}.${part()}`;
}

async function freePort(host) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise((resolve) => server.close(resolve));
    return port;
}

/** The run line of the deploy file. */
function readRunLine() {
    const line = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))?.[1];
    if (line === undefined) {
        throw new Error("the deploy file has no run line");
    }
    return line.split(" ");
}

/** Starts one daemon for each name; its zone follows from its place in the list. */
export async function startFleet({ names, storeAddress, cloudAddress, note, settings = {}, boundsChanges = {} }) {
    const folder = mkdtempSync(join(tmpdir(), "samphirepin-review-2-"));
    const zones = ["zone-a", "zone-b", "zone-c"];
    const [program, ...args] = readRunLine();
    const daemons = [];
    for (const [at, name] of names.entries()) {
        const host = chooseHost();
        const [front, ready, control, peer] = [
            await freePort(host),
            await freePort(host),
            await freePort(host),
            await freePort(host),
        ];
        const file = join(folder, `${name}.yaml`);
        const content = {
            node: name,
            role: "entry",
            machineClass: "front",
            serves: ["front", "control"],
            ip: host,
            zone: zones[at % zones.length],
            region: "north",
            listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}` },
            portRange: [peer, peer + 15],
            heartbeatMs: 1500,
            limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
            bounds: { ...bounds, ...boundsChanges },
            orders: "call",
            platform: {
                address: storeAddress,
                form: "kv",
                writesPerS: 400,
                readsPerS: 2000,
                historyS: 20,
                valueBytes: 1_048_576,
                ttlMinMs: 1000,
            },
            cloud: { address: cloudAddress, ratePerS: 64, dutyPerS: 64 },
            ...settings,
        };
        // JSON is YAML.
        writeFileSync(file, JSON.stringify(content));
        let child;
        const daemon = {
            name,
            front: `${host}:${front}`,
            log: "",
            start() {
                child = spawn(program === "node" ? process.execPath : program, args, {
                    cwd: root,
                    env: { PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIREPIN_CONFIG: file },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                const started = child;
                started.stdout.on("data", (data) => daemon.log += data);
                started.stderr.on("data", (data) => daemon.log += data);
                started.on("exit", (code, signal) => {
                    note({ kind: "processEnded", name, code, signal });
                    child = child === started ? undefined : child;
                });
                note({ kind: "processStarted", name });
            },
            signal(signal) {
                note({ kind: "signal", name, signal });
                child?.kill(signal);
            },
            isRunning: () => child !== undefined,
            async isReady() {
                try {
                    const { status } = await fetch(`http://${host}:${ready}/ready`, {
                        signal: AbortSignal.timeout(300),
                    });
                    return status === 200;
                }
                catch {
                    return false;
                }
            },
        };
        daemon.start();
        daemons.push(daemon);
    }
    return {
        daemons,
        folder,
        find: (name) => daemons.find((daemon) => daemon.name === name),
        async waitReady(mostMs = 15_000) {
            const endsAt = performance.now() + mostMs;
            while (performance.now() < endsAt) {
                if ((await Promise.all(daemons.map((daemon) => daemon.isReady()))).every(Boolean)) {
                    return true;
                }
                await pause(100);
            }
            return false;
        },
        close() {
            daemons.forEach((daemon) => daemon.isRunning() && daemon.signal("SIGKILL"));
            if (process.env.KEEP_LOGS !== undefined) {
                daemons.forEach(({ name, log }) => writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), log));
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Calls a daemon as a client does. Resolves to the status and the body, or to status 0 without an answer. */
export async function callClient(daemon, note, { method, path, key, body, deadlineMs = 3000 }) {
    const sent = { kind: "call", to: daemon.name, method, path };
    const [hostname, port] = daemon.front.split(":");
    const text = body === undefined ? "" : JSON.stringify(body);
    const headers = {
        "host": queueHost,
        "x-deadline-ms": String(deadlineMs),
        ...key === undefined ? {} : { authorization: `Bearer ${key}` },
        ...body === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
    };
    const answer = await new Promise((resolve) => {
        const call = request({ hostname, port, method, path, headers, agent: false }, (response) => {
            const chunks = [];
            response.on("data", (chunk) => chunks.push(chunk));
            response.on("error", (error) => resolve({ status: 0, text: String(error) }));
            response.on("end", () => resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() }));
        });
        call.setTimeout(deadlineMs, () => call.destroy(new Error("no answer in time")));
        call.on("error", (error) => resolve({ status: 0, text: String(error) }));
        call.end(text);
    });
    note({ ...sent, status: answer.status, answer: answer.text.slice(0, 200) });
    return { status: answer.status, body: answer.status === 0 || answer.text === "" ? {} : JSON.parse(answer.text) };
}

/** A configuration with one queue for each service. */
export function createConfig({ version = 5, services, caps = { cpu: 0, memMb: 0, gpu: 0 }, standby }) {
    return {
        version,
        routes: services.map((name) => ({
            name: `${name}-queue`,
            host: queueHost,
            prefix: `/${name}/`,
            service: name,
            priority: 0,
            maxAttempts: 3,
            stretch: 1.6,
            targetLatencyMs: 600,
            timeoutMs: 3000,
        })),
        services: [
            ...services.map((name) => ({ name, rejectsOverload: false })),
            ...standby === undefined ? [] : [{ name: standby, rejectsOverload: false, standby: true }],
        ],
        tenants: [{ name: "giza", apiKeys: ["key-giza"], weight: 10, cap: caps }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    };
}

/** Runs a case, ends what it started, and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(url, play) {
    const record = createRecord(url);
    const closers = [];
    let code = 2;
    const limit = setTimeout(() => finish("the case took too long"), 115_000);
    function finish(problem) {
        clearTimeout(limit);
        if (problem !== undefined) {
            record.note({ kind: "notRun", problem });
        }
        closers.reverse().forEach((close) => {
            try {
                close();
            }
            catch {
                // Already ended.
            }
        });
        process.exit(code);
    }
    process.on("SIGTERM", () => finish("stopped"));
    process.on("SIGINT", () => finish("stopped"));
    try {
        const broken = await play(record, (close) => closers.push(close), process.env.TROUBLE !== "0");
        code = broken.length > 0 ? 1 : 0;
        record.note({ kind: "verdict", broken });
        console.log(broken.length > 0 ? `broken: ${broken.join("; ")}` : "held");
        finish();
    }
    catch (error) {
        console.log(String(error?.stack ?? error));
        finish(String(error));
    }
}
