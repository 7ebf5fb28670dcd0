/** Stand-ins of the platform's store and its workers, by the users' protocol, on loopback. */
import { createServer } from "node:http";

/** Serves JSON on a free port of 127.0.0.1. `handle` returns `{ status, body }`, or `"drop"` to break the connection. */
export async function serve(handle) {
    const server = createServer((req, res) => {
        const chunks = [];
        req.on("error", () => {});
        req.on("data", (chunk) => chunks.push(chunk));
        req.on("end", async () => {
            const url = new URL(req.url, "http://stand-in");
            const text = Buffer.concat(chunks).toString();
            const reply = await handle({
                call: `${req.method} ${url.pathname}`,
                query: url.searchParams,
                headers: req.headers,
                body: text === "" ? {} : JSON.parse(text),
                socket: req.socket,
            });
            if (reply === "drop") {
                req.socket.destroy();
                return;
            }
            if (reply === "silent" || res.destroyed) {
                return;
            }
            res.writeHead(reply.status, { "content-type": "application/json" });
            res.end(JSON.stringify(reply.body ?? {}));
        });
    });
    server.keepAliveTimeout = 0;
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The platform's metadata store. */
export async function startStore() {
    const items = new Map();
    const leases = new Map();
    const history = [];
    const waiters = new Set();
    let revision = 10;
    let nextLease = 1;

    function wake() {
        [...waiters].forEach((wake) => wake());
    }

    function set(key, value, lease = 0) {
        const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
        items.set(key, item);
        history.push(item);
    }

    function remove(key) {
        if (items.delete(key)) {
            history.push({ key, revision, deleted: true });
        }
    }

    function endLease(lease) {
        if (!leases.delete(lease)) {
            return false;
        }
        const keys = [...items.values()].filter((item) => item.lease === lease).map(({ key }) => key);
        if (keys.length > 0) {
            revision++;
            keys.forEach(remove);
            wake();
        }
        return true;
    }

    function commit({ expected = [], puts = [], deletes = [] }) {
        if (expected.some(({ key, revision }) => (items.get(key)?.revision ?? 0) !== revision)) {
            return { status: 412, body: { items: expected.flatMap(({ key }) => items.get(key) ?? []) } };
        }
        if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
            return { status: 404 };
        }
        revision++;
        puts.forEach(({ key, value, lease }) => set(key, value, lease));
        deletes.forEach(remove);
        wake();
        return { status: 200, body: { revision } };
    }

    async function watch(query) {
        const [prefix, after, waitMs] = [query.get("prefix"), Number(query.get("after")), Number(query.get("waitMs"))];
        const endsAt = performance.now() + waitMs;
        for (;;) {
            const events = history.filter((event) => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= endsAt) {
                return { status: 200, body: { events, storeRevision: revision } };
            }
            await new Promise((resolve) => {
                const done = () => {
                    waiters.delete(done);
                    clearTimeout(timer);
                    resolve();
                };
                const timer = setTimeout(done, endsAt - performance.now());
                waiters.add(done);
            });
        }
    }

    const server = await serve(async ({ call, query, body }) => {
        await pause(2);
        const lease = Number(call.split("/").at(-1));
        switch (call.replace(/\/\d+$/, "/")) {
            case "GET /kv-key": {
                const item = items.get(query.get("key"));
                return item === undefined
                    ? { status: 404 }
                    : { status: 200, body: { ...item, storeRevision: revision } };
            }
            case "GET /kv-range": {
                const found = [...items.values()]
                    .filter(({ key }) => key.startsWith(query.get("prefix")) && key > (query.get("after") ?? ""))
                    .sort((a, b) => a.key < b.key ? -1 : 1);
                const page = found.slice(0, 500);
                return { status: 200, body: { items: page, hasMore: found.length > 500, storeRevision: revision } };
            }
            case "GET /kv-watch":
                return watch(query);
            case "POST /kv-txn":
                return commit(body);
            case "POST /kv-lease":
                leases.set(nextLease, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs });
                return { status: 200, body: { lease: nextLease++, ttlMs: body.ttlMs } };
            case "POST /kv-keep/": {
                const known = leases.get(lease);
                if (known === undefined) {
                    return { status: 404 };
                }
                known.endsAt = performance.now() + known.ttlMs;
                return { status: 200, body: { lease, ttlMs: known.ttlMs } };
            }
            case "DELETE /kv-lease-end/":
                return { status: endLease(lease) ? 200 : 404 };
            default:
                return { status: 404 };
        }
    });
    const timer = setInterval(() => {
        [...leases].filter(([, { endsAt }]) => endsAt < performance.now()).forEach(([lease]) => endLease(lease));
    }, 10);
    const encode = (value) => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        address: server.address,
        /** Writes as operators and workers do. */
        put: (key, value) => void commit({ puts: [{ key, value: encode(value) }] }),
        remove: (key) => void commit({ deletes: [key] }),
        get(key) {
            const item = items.get(key);
            return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
        },
        close() {
            clearInterval(timer);
            server.close();
        },
    };
}

/** Check-in interval of workers, in milliseconds. */
const heartbeatMs = 1500;

/** Time that a worker takes to stop a task, in milliseconds. */
const stopMs = 100;

/**
 * Workers and the gangs that run on them.
 *
 * @param opts.note takes what happens, for the record
 * @param opts.delayStart returns how much later a start is carried out, in milliseconds, by the life that is up then; such
 *     a start gets no answer. `undefined`: it is carried out and answered at once
 * @param opts.taskOf returns `{ workMs, gang, count }` of a task by its name; `gang`: whether its step is one
 */
export function createWorkers({ store, note, taskOf, bounds, delayStart = () => undefined }) {
    const workers = new Map();
    /** Servers by worker id: a later life under the same id has the same address. */
    const servers = new Map();
    const gangOf = ({ task, run }) => `${task.slice(0, task.lastIndexOf("."))} run ${run}`;

    function membersOf(of) {
        return [...workers.values()].flatMap(({ runs }) => [...runs.values()]).filter((run) =>
            gangOf(run) === gangOf(of)
        );
    }

    async function add(
        { id, service, zone = "zone-a", rack = "r1", kind = "a", cpu = 64_000, memMb = 131_072, clockStartMs = 0 },
    ) {
        const born = Date.now();
        const startedAt = performance.now();
        const clockMs = () => Math.floor(performance.now() - startedAt) + clockStartMs;
        const runs = new Map();
        const stopped = new Map();
        let ends = [];
        let nextEnd = 1;
        let fence = 0;
        let leaseUntil = 0;
        let isUp = true;
        const waiters = new Set();

        function end(run, how) {
            runs.delete(run.task);
            stopped.set(run.task, Math.max(stopped.get(run.task) ?? 0, run.run));
            ends.push([nextEnd++, run.task, run.run, how, run.saved]);
            note({ kind: "end", worker: id, task: run.task, run: run.run, how, saved: run.saved });
            [...waiters].forEach((wake) => wake());
            if (run.gang && how !== "done" && how !== "broken" && how !== "alone") {
                membersOf(run).forEach((member) => member.end("broken"));
            }
        }

        function start(body) {
            const { task, run, untilMs } = body;
            const told = { kind: "start", worker: id, task, run, checkpoint: body.checkpoint ?? "" };
            if (untilMs < clockMs()) {
                note({ ...told, answer: "late" });
                return { status: 409, body: { clockMs: clockMs(), reason: "late" } };
            }
            leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clockMs() + bounds.maxHoldMs));
            if (runs.get(task)?.run === run) {
                return { status: 200, body: { clockMs: clockMs() } };
            }
            if (run <= Math.max(stopped.get(task) ?? 0, runs.get(task)?.run ?? 0)) {
                note({ ...told, answer: "old" });
                return { status: 409, body: { clockMs: clockMs(), reason: "old" } };
            }
            const { workMs, gang, count } = taskOf(task);
            const saved = body.checkpoint ?? "";
            const begun = { task, run, saved, gang, count, workMs, doneMs: Number(saved.split("-")[1] ?? 0) };
            begun.since = performance.now();
            begun.worksSince = gang ? undefined : begun.since;
            begun.end = (how) => end(begun, how);
            runs.set(task, begun);
            note({ ...told, answer: 200 });
            return { status: 200, body: { clockMs: clockMs() } };
        }

        function stop({ task, run }) {
            stopped.set(task, Math.max(stopped.get(task) ?? 0, run));
            const known = runs.get(task);
            if (known !== undefined && known.run <= run && known.isStopping !== true) {
                known.isStopping = true;
                note({ kind: "stop", worker: id, task, run });
                setTimeout(() => {
                    if (isUp && runs.get(task) === known) {
                        save(known);
                        end(known, "stopped");
                    }
                }, stopMs);
            }
            return { status: 200, body: { clockMs: clockMs() } };
        }

        const workedMs = (run) =>
            run.worksSince === undefined ? run.doneMs : run.doneMs + performance.now() - run.worksSince;

        function save(run) {
            run.saved = `c-${String(Math.floor(workedMs(run))).padStart(6, "0")}`;
        }

        async function hold({ lastSeen, untilMs, waitMs = 0 }) {
            if (untilMs !== undefined) {
                leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clockMs() + bounds.maxHoldMs));
            }
            ends.filter(([number]) => number <= lastSeen).forEach(([, task, run, how]) =>
                note({ kind: "endNoted", worker: id, task, run, how })
            );
            ends = ends.filter(([number]) => number > lastSeen);
            if (ends.length === 0 && waitMs > 0) {
                await new Promise((resolve) => {
                    const done = () => {
                        waiters.delete(done);
                        clearTimeout(timer);
                        resolve();
                    };
                    const timer = setTimeout(done, waitMs);
                    waiters.add(done);
                });
                if (!isUp) {
                    return "drop";
                }
            }
            const running = [...runs.values()].map((run) => [
                run.task,
                run.run,
                run.saved,
                Math.min(99, Math.floor(100 * workedMs(run) / run.workMs)),
                0,
            ]);
            return { status: 200, body: { clockMs: clockMs(), born, running, finished: ends.slice(0, 500) } };
        }

        /** Ends tasks whose lease, work or wait is over, and takes checkpoints. */
        function tick() {
            for (const run of [...runs.values()]) {
                if (!isUp || runs.get(run.task) !== run) {
                    continue;
                }
                if (clockMs() > leaseUntil) {
                    end(run, "lapsed");
                    continue;
                }
                if (run.worksSince === undefined) {
                    const members = membersOf(run);
                    const isWhole = members.length === run.count && members.every(({ saved }) => saved === run.saved);
                    if (isWhole) {
                        members.forEach((member) => member.worksSince = performance.now());
                    }
                    else if (performance.now() - run.since > bounds.gangTimeoutMs) {
                        end(run, "alone");
                    }
                    continue;
                }
                const intervals = Math.floor(workedMs(run) / bounds.checkpointMs);
                if (intervals > 0) {
                    const value = `c-${String(intervals * bounds.checkpointMs).padStart(6, "0")}`;
                    run.saved = value > run.saved ? value : run.saved;
                }
                if (workedMs(run) >= run.workMs) {
                    (run.gang ? membersOf(run) : [run]).forEach((member) => member.end("done"));
                }
            }
        }

        async function answer({ call, headers, body }) {
            if (!isUp) {
                return "drop";
            }
            if (headers["x-target-instance"] !== id) {
                return { status: 421 };
            }
            if ((body.fencingToken ?? 0) < fence) {
                return { status: 409, body: { clockMs: clockMs(), reason: "fence" } };
            }
            fence = Math.max(fence, body.fencingToken ?? 0);
            switch (call) {
                case "POST /run-start":
                    return start(body);
                case "POST /run-stop":
                    return stop(body);
                case "POST /hold":
                    return await hold(body);
                case "POST /pace":
                    return { status: 200, body: { clockMs: clockMs() } };
                default:
                    return { status: 404 };
            }
        }

        const server = servers.get(id) ?? await serveLives();
        servers.set(id, server);
        server.answer = answer;

        async function serveLives() {
            const shared = { answer };
            const { address, close } = await serve((request) => {
                const lateMs = request.call === "POST /run-start" ? delayStart(id, request.body) : undefined;
                if (lateMs === undefined) {
                    return shared.answer(request);
                }
                note({ kind: "startHeldUp", worker: id, task: request.body.task, run: request.body.run, lateMs });
                setTimeout(() => void shared.answer(request), lateMs);
                return "silent";
            });
            return Object.assign(shared, { address, close });
        }

        let seq = 0;
        let state = "ready";
        const key = `servers/${id}`;
        const register = () =>
            store.put(key, {
                service,
                address: server.address,
                zone,
                version: "1",
                slots: 8,
                state,
                coldRemainingMs: 0,
                seq: seq++,
                born,
                capacity: { cpu, memMb, gpu: 0 },
                labels: [kind, rack],
                ...state === "draining" ? { remainingMs: worker.leavesAt - clockMs() } : {},
            });
        const worker = {
            id,
            service,
            runs,
            isUp: () => isUp,
            /**
             * Ends at once with all that runs here; calls that wait for an answer break. Gangs that it ran a member of
             * break. Its entry is removed a while later, unless another life has written it.
             */
            crash(keepsEntryMs = 3 * heartbeatMs) {
                isUp = false;
                clearInterval(ticking);
                clearInterval(checkingIn);
                note({
                    kind: "crash",
                    worker: id,
                    running: [...runs.values()].map(({ task, run }) => `${task} run ${run}`),
                });
                const lost = [...runs.values()];
                runs.clear();
                [...waiters].forEach((wake) => wake());
                workers.delete(id);
                lost.filter(({ gang }) => gang).forEach((run) =>
                    membersOf(run).forEach((member) => member.end("broken"))
                );
                setTimeout(() => workers.has(id) || store.remove(key), keepsEntryMs);
            },
            /** Announces that it leaves, and leaves `ms` later. */
            drain(ms) {
                state = "draining";
                worker.leavesAt = clockMs() + ms;
                note({ kind: "draining", worker: id, leavesInMs: ms });
                register();
                setTimeout(() => worker.crash(0), ms);
            },
            close() {
                isUp = false;
                clearInterval(ticking);
                clearInterval(checkingIn);
            },
        };
        workers.set(id, worker);
        register();
        const ticking = setInterval(tick, 10);
        const checkingIn = setInterval(register, heartbeatMs);
        return worker;
    }

    return {
        workers,
        add,
        close() {
            workers.forEach((worker) => worker.close());
            servers.forEach((server) => server.close());
        },
    };
}
