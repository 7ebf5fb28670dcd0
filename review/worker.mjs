import { serveJson } from "./serveJson.mjs";

/** Interval at which the end of work and of leases is checked, in milliseconds. */
const tickMs = 5;

/** Interval at which a worker writes to the store, in milliseconds (`heartbeatMs`). */
const registrationMs = 1500;

/**
 * One worker by PROTOCOL.md.
 *
 * `workMsOf(task, worker)` tells how long a task works there; infinite for one that lasts. `failsOn(run)` tells whether a run fails
 * by its own fault at the end of its work. `stopMs` is how long a stop takes.
 * `onEvent(kind, fields)` is told of each start, ordered stop and end.
 */
export async function startWorker(opts) {
    const { id, store, service, zone, rack, capacity, maxHoldMs, stopMs, workMsOf, onEvent } = opts;
    const failsOn = opts.failsOn ?? (() => false);
    const born = Date.now();
    const bornAtMs = performance.now();
    const runs = new Map();
    const highestEnded = new Map();
    const waiters = new Set();
    let finished = [];
    let nextEnd = 1;
    let fence = 0;
    let untilMs = 0;
    let seq = 0;

    const clockMs = () => Math.floor(performance.now() - bornAtMs);
    const now = () => performance.now();

    function end(run, how) {
        runs.delete(run.task);
        highestEnded.set(run.task, Math.max(run.run, highestEnded.get(run.task) ?? 0));
        finished.push([nextEnd++, run.task, run.run, how, ""]);
        onEvent(how, { worker: id, task: run.task, run: run.run });
        [...waiters].forEach((waiter) => waiter());
    }

    function tick() {
        const isLapsed = clockMs() > untilMs;
        for (const run of [...runs.values()]) {
            if (isLapsed) {
                end(run, "lapsed");
            }
            else if (run.stopsAtMs !== undefined && now() >= run.stopsAtMs) {
                end(run, "stopped");
            }
            else if (run.stopsAtMs === undefined && now() - run.startedAtMs >= run.workMs) {
                end(run, failsOn(run) ? "failed" : "done");
            }
        }
    }

    function extend(value) {
        untilMs = Math.max(untilMs, Math.min(value ?? 0, clockMs() + maxHoldMs));
    }

    const answer = (body = {}) => ({ status: 200, body: { ...body, clockMs: clockMs(), born } });
    const refuse = (reason) => ({ status: 409, body: { clockMs: clockMs(), reason } });

    function start({ task, run, spec, untilMs: until }) {
        const known = runs.get(task);
        if (known?.run === run) {
            return answer();
        }
        if ((highestEnded.get(task) ?? 0) >= run || (known?.run ?? 0) > run) {
            extend(until);
            return refuse("old");
        }
        if (until <= clockMs()) {
            return refuse("late");
        }
        extend(until);
        runs.set(task, { task, run, startedAtMs: now(), workMs: workMsOf(task, id), stopsAtMs: undefined });
        onEvent("started", { worker: id, task, run, spec });
        return answer();
    }

    function stop({ task, run }) {
        const known = runs.get(task);
        if (known?.run === run) {
            if (known.stopsAtMs === undefined) {
                known.stopsAtMs = now() + stopMs;
                onEvent("stop ordered", { worker: id, task, run });
            }
        }
        else {
            highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
        }
        return answer();
    }

    async function hold({ untilMs: until, lastSeen = 0, waitMs = 0 }) {
        extend(until);
        finished = finished.filter(([number]) => number > lastSeen);
        if (finished.length === 0 && waitMs > 0) {
            let waiter;
            let timer;
            await new Promise((resolve) => {
                waiter = resolve;
                waiters.add(waiter);
                timer = setTimeout(resolve, waitMs);
            });
            waiters.delete(waiter);
            clearTimeout(timer);
        }
        const running = [...runs.values()].map(({ task, run, startedAtMs, workMs }) => [
            task,
            run,
            "",
            workMs === Infinity ? 100 : Math.min(99, Math.floor(100 * (now() - startedAtMs) / workMs)),
            0,
        ]);
        return answer({ running, finished: finished.slice(0, 500) });
    }

    function handle({ path, headers, body }) {
        if (headers["x-target-instance"] !== id) {
            return { status: 421, body: { clockMs: clockMs() } };
        }
        const token = body.fencingToken ?? 0;
        if (token < fence) {
            return refuse("fence");
        }
        fence = token;
        tick();
        switch (path) {
            case "/run-start":
                return start(body);
            case "/run-stop":
                return stop(body);
            case "/hold":
                return hold(body);
            case "/pace":
                return answer();
            default:
                return { status: 404, body: {} };
        }
    }

    const server = await serveJson(handle);
    const register = () =>
        store.put(`servers/${id}`, {
            service,
            address: server.address,
            zone,
            version: "1",
            slots: 8,
            state: "ready",
            coldRemainingMs: 0,
            remainingMs: 0,
            seq: ++seq,
            born,
            capacity,
            labels: ["a", rack],
        });
    register();
    const timers = [setInterval(tick, tickMs), setInterval(register, registrationMs)];
    return {
        id,
        runningTasks: () => [...runs.keys()],
        close() {
            timers.forEach(clearInterval);
            server.close();
        },
    };
}
