import { mkdtempSync, rmSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startDaemon } from "./daemon.mjs";
import { serveMachines } from "./machines.mjs";
import { createStore } from "./store.mjs";
import { startWorker } from "./worker.mjs";

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export const zones = ["delta-a", "delta-b", "delta-c"];

/** Bounds as the sheet of nsba-yards gives them. */
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
    maxHoldMs: 6000,
    stopTimeoutMs: 400,
    gangTimeoutMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    remoteFactor: 1.5,
    checkpointIntervalS: 2,
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

export const host = "yards.example";
export const prefix = "/stalls/";
export const key = "key-of-giza";

/** Starts a small deployment: a store, workers of one service, machines, and entries as processes. */
export async function createWorld(opts) {
    const { record, cap = { cpu: 0, memMb: 0, gpu: 0 }, workers: workerCount = 6, entries: entryCount = 3 } = opts;
    const workMsOf = opts.workMsOf ?? (() => 800);
    const limits = { ...bounds, ...opts.bounds };
    const folder = mkdtempSync(join(tmpdir(), "samphirepin-review-"));
    const store = createStore(opts);
    const runs = [];

    function onEvent(kind, { worker, task, run }) {
        const atMs = performance.now();
        if (kind === "started") {
            runs.push({ task, run, worker, startedAtMs: atMs, endedAtMs: undefined, how: undefined });
        }
        else if (kind !== "stop ordered") {
            const ended = runs.find((each) => each.task === task && each.run === run && each.worker === worker);
            Object.assign(ended, { endedAtMs: atMs, how: kind });
        }
        if (opts.isQuiet !== true) {
            record(`${worker}: ${task} run ${run} ${kind}`);
        }
        opts.onEvent?.(kind, { worker, task, run });
    }

    store.put("op/config", {
        version: 3,
        routes: [{
            name: "stall-hold",
            kind: "unsafe",
            host,
            prefix,
            service: "stalls",
            public: false,
            priority: 0,
            maxAttempts: 3,
            stretch: 1.6,
            targetLatencyMs: 600,
            timeoutMs: 3000,
        }],
        services: [{
            name: "stalls",
            healthPath: "/health",
            maxConnections: 64,
            protocol: "h1",
            tls: false,
            rejectsOverload: false,
            standby: false,
        }],
        tenants: [{ name: "giza", apiKeys: [key], weight: 10, cap }],
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
    });
    const workers = [];
    for (let at = 0; at < workerCount; at++) {
        workers.push(
            await startWorker({
                id: `worker-${at + 1}`,
                store,
                service: "stalls",
                zone: zones[at % 3],
                rack: `r${Math.floor(at / 4)}`,
                capacity: { cpu: 32000, memMb: 131072, gpu: 0 },
                maxHoldMs: limits.maxHoldMs,
                stopMs: limits.stopTimeoutMs,
                workMsOf,
                failsOn: opts.failsOn,
                onEvent,
            }),
        );
    }
    const machines = await serveMachines(workers.map(({ id }, at) => ({
        machine: `machine-${at + 1}`,
        pool: "stalls",
        state: "up",
        zone: zones[at % 3],
        labels: ["a", "r0"],
        capacity: { cpu: 32000, memMb: 131072, gpu: 0 },
        id,
    })));
    const entries = [];
    for (let at = 0; at < entryCount; at++) {
        const name = `entry-${at + 1}`;
        entries.push(
            await startDaemon({
                name,
                host: `127.0.${10 + at}.1`,
                zone: zones[at % 3],
                zones,
                folder,
                bounds: limits,
                storeAddress: await store.connect(name),
                machinesAddress: machines.address,
                onExit: (who, code, signal) => {
                    record(`process of ${who} ended: code ${code}, signal ${signal}`);
                    opts.onExit?.(who, code, signal);
                },
            }),
        );
    }

    async function isReady({ ready }) {
        const answer = await call(ready, "GET", "/ready", { timeoutMs: 300 });
        return answer.status === 200;
    }

    function findLeader() {
        const holder = store.read("samphirepin/live/duty/all");
        return entries.find(({ name }) => name === holder?.instance);
    }

    return {
        store,
        workers,
        entries,
        runs,
        folder,
        findLeader,
        /** Waits until all entries are ready and one of them leads. */
        async waitUntilServing(timeoutMs = 15_000) {
            const endsAtMs = performance.now() + timeoutMs;
            while (performance.now() < endsAtMs) {
                const ready = await Promise.all(entries.map(isReady));
                if (ready.every(Boolean) && findLeader() !== undefined) {
                    record(`all entries are ready; ${findLeader().name} leads`);
                    return;
                }
                await pause(100);
            }
            throw new Error("the entries did not become ready");
        },
        stop() {
            entries.forEach((entry) => entry.close());
            workers.forEach((worker) => worker.close());
            machines.close();
            store.close();
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** One call over a new connection; `status` is 0 if there was no complete answer. */
export function call(address, method, path, { body, deadlineMs, timeoutMs = 3000, apiKey = key } = {}) {
    const [hostName, port] = address.split(":");
    return new Promise((resolve) => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const req = request({
            host: hostName,
            port: Number(port),
            method,
            path,
            agent: false,
            headers: {
                host,
                authorization: `Bearer ${apiKey}`,
                ...deadlineMs === undefined ? {} : { "x-deadline-ms": String(deadlineMs) },
                ...text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
            },
        }, (res) => {
            const chunks = [];
            res.on("data", (chunk) => chunks.push(chunk));
            res.on("end", () => {
                clearTimeout(timer);
                resolve({ status: res.statusCode, text: Buffer.concat(chunks).toString() });
            });
            res.on("error", () => resolve({ status: 0, text: "the answer broke off" }));
        });
        const timer = setTimeout(() => req.destroy(new Error("no answer in time")), timeoutMs);
        req.on("error", (error) => {
            clearTimeout(timer);
            resolve({ status: 0, text: error.message });
        });
        req.end(text);
    });
}

/** Exit codes of `play.mjs`. Node.js itself exits with 1 on an error, so `run.sh` translates `broken` to 1. */
const ExitCode = { held: 0, notRun: 2, broken: 3 };

/** Runs a case and exits with one of the codes above. */
export async function runCase(record, play) {
    let world;

    function stopWithout(reason) {
        record(`the case couldn't run: ${reason}`);
        world?.stop();
        process.exit(ExitCode.notRun);
    }

    const timer = setTimeout(() => stopWithout("it took too long"), 110_000);
    process.once("uncaughtException", (error) => stopWithout(error.stack));
    ["SIGTERM", "SIGINT"].forEach((signal) => process.once(signal, () => stopWithout(signal)));
    try {
        const isBroken = await play((created) => world = created);
        clearTimeout(timer);
        world?.stop();
        record(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
        process.exit(isBroken ? ExitCode.broken : ExitCode.held);
    }
    catch (error) {
        stopWithout(error.stack);
    }
}
