import { spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

async function findFreePorts(host, count) {
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise((resolve, reject) => {
            const server = createServer();
            server.once("error", reject);
            server.listen(0, host, () => resolve(server));
        })));
    const ports = servers.map((server) => server.address().port);
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
    return ports;
}

/** Starts one entry with the command of the deploy file. Its settings are those of a small site. */
export async function startDaemon({ name, host, zone, zones, folder, storeAddress, machinesAddress, bounds, onExit }) {
    const [front, ready, control, peer] = await findFreePorts(host, 4);
    const file = join(folder, `${name}.yaml`);
    const settings = {
        node: name,
        role: "entry",
        machineClass: "front",
        serves: ["front", "control"],
        ip: host,
        zone,
        region: "delta",
        zones: Object.fromEntries(zones.map((each) => [each, "delta"])),
        listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}` },
        portRange: [peer, peer],
        seeds: [],
        bootstrap: true,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        dataDir: null,
        discovery: "platform",
        entry: "vip",
        heartbeatMs: 1500,
        bounds,
        orders: "call",
        platform: {
            address: storeAddress,
            form: "kv",
            writesPerS: 400,
            readsPerS: 2000,
            historyS: 20,
            valueBytes: 1048576,
            ttlMinMs: 1000,
        },
        cloud: { address: machinesAddress, ratePerS: 64, duties: [], dutyPerS: 64 },
    };
    // JSON is valid YAML.
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
    const log = createWriteStream(join(folder, `${name}.log`));
    let child;
    let isClosed = false;

    function start() {
        const started = spawn(
            "node",
            ["--max-old-space-size=120", "--max-semi-space-size=2", "target/samphirepin.cjs"],
            { cwd: root, env: { PATH: process.env.PATH, SAMPHIREPIN_CONFIG: file }, stdio: ["ignore", "pipe", "pipe"] },
        );
        started.stdout.pipe(log, { end: false });
        started.stderr.pipe(log, { end: false });
        started.on("exit", (code, signal) => {
            if (child === started) {
                child = undefined;
            }
            if (!isClosed) {
                onExit?.(name, code, signal);
            }
        });
        child = started;
    }

    // Whatever ends this process, the entry does not outlive it.
    process.once("exit", () => child?.kill("SIGKILL"));
    start();
    return {
        name,
        zone,
        front: settings.listen.front,
        ready: settings.listen.ready,
        start,
        isRunning: () => child !== undefined,
        signal: (signal) => child?.kill(signal),
        close() {
            isClosed = true;
            child?.kill("SIGKILL");
        },
    };
}
