import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";

interface Order {
    attempt: string;
    team: string;
    pool: string;
    assignmentNumber: number;
    leaseMs: number;
    holder: string;
    isRepeatable?: boolean;
    payload: string;
}

interface Task {
    order: Order;
    leaseEndsAtMs: number;
    end(result: Record<string, unknown>): void;
}

/** Faults that a test or the demo can switch on. */
export interface WorkerFaults {
    failsAll: boolean;
    truncatesAnswers: boolean;
    crossesAnswers: boolean;
    answerDelayMs: number;
}

export interface WorkerServerOptions {
    readonly slots: number;
    readonly rebootMs: number;
}

const leaseCheckMs = 50;

/**
 * A small worker: runs a task by waiting as long as the payload's `runMs` says, under a lease.
 * It keeps its assignment number through reboots and refuses orders that carry a lower one.
 */
export function createWorkerServer(opts: WorkerServerOptions) {
    const tasks = new Map<string, Task>();
    const faults: WorkerFaults = {
        failsAll: false,
        truncatesAnswers: false,
        crossesAnswers: false,
        answerDelayMs: 0,
    };
    /** Every start of a task, for judges. */
    const starts: Order[] = [];
    /** Most tasks of each team that ran at once, for judges. */
    const peaks: Record<string, number> = {};
    let state: "serving" | "draining" | "rebooting" = "serving";
    let assignmentNumber = 0;
    let pool = "";
    let workerBoot: string = randomUUID();

    function refuse(order: Order): string | undefined {
        if (order.assignmentNumber < assignmentNumber || pool !== "" && order.pool !== pool) {
            return "staleAssignment";
        }
        if (state !== "serving") {
            return "leaving";
        }
        return tasks.size >= opts.slots ? "busy" : undefined;
    }

    function run(order: Order, res: ServerResponse): void {
        const reason = refuse(order);
        if (reason !== undefined) {
            write(res, 200, { kind: "notRun", attempt: order.attempt, reason });
            return;
        }
        starts.push(order);
        const timer = setTimeout(() => {
            task.end(
                faults.failsAll
                    ? { kind: "failed", detail: "fails all" }
                    : { kind: "answered", body: `done ${order.payload}` },
            );
        }, faults.failsAll ? 1 : readRunMs(order.payload));
        const task: Task = {
            order,
            leaseEndsAtMs: Date.now() + order.leaseMs,
            end(result) {
                clearTimeout(timer);
                tasks.delete(order.attempt);
                const attempt = faults.crossesAnswers ? randomUUID() : order.attempt;
                setTimeout(() => answer(res, { ...result, attempt }), faults.answerDelayMs);
            },
        };
        tasks.set(order.attempt, task);
        const running = [...tasks.values()].filter((each) => each.order.team === order.team).length;
        peaks[order.team] = Math.max(peaks[order.team] ?? 0, running);
    }

    function answer(res: ServerResponse, body: unknown): void {
        if (faults.truncatesAnswers) {
            const text = JSON.stringify(body);
            res.writeHead(200, { "content-length": text.length });
            res.write(text.slice(0, text.length / 2));
            setTimeout(() => res.destroy(), 1);
            return;
        }
        write(res, 200, body);
    }

    function endAll(reason: "lease" | "stop"): void {
        [...tasks.values()].forEach((task) => task.end({ kind: "stopped", reason }));
    }

    function notify(kind: string, body: { assignmentNumber: number; pool?: string; }): boolean {
        if (body.assignmentNumber < assignmentNumber || state === "rebooting") {
            return false;
        }
        assignmentNumber = body.assignmentNumber;
        switch (kind) {
            case "drain":
                state = "draining";
                return true;
            case "serve":
                state = "serving";
                pool = body.pool ?? pool;
                return true;
            default:
                state = "rebooting";
                endAll("stop");
                setTimeout(() => {
                    workerBoot = randomUUID();
                    state = "draining";
                }, opts.rebootMs);
                return true;
        }
    }

    function usage() {
        return {
            slots: opts.slots,
            runningTasks: tasks.size,
            size: { processors: tasks.size, memoryMb: 0, accelerators: 0 },
            state,
            assignmentNumber,
            workerBoot,
            tasks: [...tasks.values()].map(({ order: { attempt, team, pool: taskPool, holder, isRepeatable } }) => ({
                attempt,
                team,
                pool: taskPool,
                holder,
                isRepeatable,
            })),
        };
    }

    function renew(body: { attempts: string[]; leaseMs: number; }): { ended: string[]; } {
        body.attempts.forEach((attempt) => {
            const task = tasks.get(attempt);
            if (task !== undefined) {
                task.leaseEndsAtMs = Date.now() + body.leaseMs;
            }
        });
        return { ended: body.attempts.filter((attempt) => !tasks.has(attempt)) };
    }

    async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const path = req.url ?? "/";
        const body = await readBody(req);
        if (path === "/control") {
            Object.assign(faults, body.faults);
            write(res, 200, { starts, peaks });
        }
        else if (path === "/tasks") {
            run(body, res);
        }
        else if (path === "/leases") {
            write(res, 200, renew(body));
        }
        else if (path === "/usage") {
            write(res, 200, usage());
        }
        else if (path.startsWith("/tasks/")) {
            const [, , attempt, mode] = path.split("/");
            const checkpoint = mode === "checkpoint"
                ? { reason: "checkpoint", checkpoint: "saved" }
                : { reason: "stop" };
            tasks.get(decodeURIComponent(attempt ?? ""))?.end({ kind: "stopped", ...checkpoint });
            write(res, 200, {});
        }
        else {
            write(res, notify(path.slice(1), body) ? 200 : 409, {});
        }
    }

    const leaseTimer = setInterval(() => {
        const now = Date.now();
        [...tasks.values()].filter((task) => task.leaseEndsAtMs < now)
            .forEach((task) => task.end({ kind: "stopped", reason: "lease" }));
    }, leaseCheckMs);
    const server = createServer((req, res) => {
        handle(req, res).catch(() => res.destroy());
    });
    server.on("close", () => clearInterval(leaseTimer));
    return { server, starts, faults, tasks };
}

function readRunMs(payload: string): number {
    const match = /^run (\d+)/.exec(payload);
    return Number(match?.[1] ?? 0);
}

function write(res: ServerResponse, status: number, body: unknown): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
}

// eslint-disable-next-line @typescript-eslint/no-explicit-any -- a stand-in trusts what the tests send
async function readBody(req: IncomingMessage): Promise<any> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
}
