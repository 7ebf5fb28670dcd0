import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { z } from "zod";
import type { LeaseRenewal, RunTaskRequest, TaskResult, WorkerAddress, WorkerFailure, Workers } from "./workers";

export interface HttpWorkersOptions {
    /** Timeout of a short call (usage, renewal, stop, command) and of connecting, in milliseconds. */
    readonly timeoutMs: number;
    /** Maximum number of connections to one worker; one of them is reserved for short calls. */
    readonly connectionsPerWorker: number;
}

const resultSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answered"), attempt: z.string(), body: z.string() }),
    z.object({ kind: z.literal("failed"), attempt: z.string(), detail: z.string() }),
    z.object({
        kind: z.literal("stopped"),
        attempt: z.string(),
        reason: z.enum(["lease", "stop", "checkpoint"]),
        checkpoint: z.string().optional(),
    }),
    z.object({
        kind: z.literal("notRun"),
        attempt: z.string(),
        reason: z.enum(["busy", "leaving", "staleAssignment", "tooLarge"]),
    }),
]);

const usageSchema = z.object({
    slots: z.number().int().nonnegative(),
    runningTasks: z.number().int().nonnegative(),
    size: z.object({ processors: z.number(), memoryMb: z.number(), accelerators: z.number() }),
    state: z.enum(["serving", "draining", "rebooting"]),
    assignmentNumber: z.number().int().nonnegative(),
    workerBoot: z.string(),
    tasks: z.array(
        z.object({
            attempt: z.string(),
            team: z.string(),
            pool: z.string(),
            holder: z.string(),
            isRepeatable: z.boolean().optional(),
        }).transform(({ isRepeatable, ...task }) => isRepeatable === undefined ? task : { ...task, isRepeatable }),
    ),
});

const renewalResultSchema = z.object({ ended: z.array(z.string()) });

/** Errors raised before any byte of the request is sent, because no connection was established. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Creates a client that calls workers over HTTP with JSON bodies. It never retries a request by itself. */
export function createHttpWorkers(opts: HttpWorkersOptions): Workers {
    const agent = new Agent({
        connections: opts.connectionsPerWorker - 1,
        pipelining: 1,
        connect: { timeout: opts.timeoutMs },
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    /** Renewals have their own connection: if they waited behind tasks that use all the others, leases would expire. */
    const controlAgent = new Agent({ connections: 1, pipelining: 1, connect: { timeout: opts.timeoutMs } });

    async function callWorker<T>(
        method: "GET" | "POST",
        url: string,
        schema: z.ZodType<T>,
        body?: unknown,
    ): Promise<Either<WorkerFailure, T>> {
        try {
            const response = await request(url, {
                method,
                dispatcher: controlAgent,
                signal: AbortSignal.timeout(opts.timeoutMs),
                ...body === undefined
                    ? {}
                    : { headers: { "content-type": "application/json" }, body: JSON.stringify(body) },
            });
            const json = await response.body.json();
            if (response.statusCode !== 200) {
                return Left({ kind: "refused", detail: `status ${response.statusCode}` });
            }
            return Right(schema.parse(json));
        }
        catch (error) {
            return Left({ kind: "unavailable", detail: String(error) });
        }
    }

    return {
        runTask: (worker, runRequest, signal) => runTask(agent, worker, runRequest, signal),
        async renewLeases(worker, renewal: LeaseRenewal) {
            return (await callWorker("POST", `${worker.url}/leases`, renewalResultSchema, renewal)).map(({ ended }) =>
                ended
            );
        },
        async stopTask(worker, attempt, mode) {
            const url = `${worker.url}/tasks/${encodeURIComponent(attempt)}/${mode}`;
            return (await callWorker("POST", url, z.unknown(), {})).map(() => undefined);
        },
        readUsage: (worker) => callWorker("GET", `${worker.url}/usage`, usageSchema),
        async sendCommand(worker, command) {
            return (await callWorker("POST", `${worker.url}/${command.kind}`, z.unknown(), command)).map(() =>
                undefined
            );
        },
        async close() {
            await agent.destroy();
            await controlAgent.destroy();
        },
    };
}

async function runTask(
    agent: Agent,
    worker: WorkerAddress,
    runRequest: RunTaskRequest,
    signal?: AbortSignal,
): Promise<TaskResult> {
    let text: string;
    try {
        const response = await request(`${worker.url}/tasks`, {
            method: "POST",
            dispatcher: agent,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(runRequest),
            ...signal === undefined ? {} : { signal },
        });
        text = await response.body.text();
    }
    catch (error) {
        return classifyRunError(error, signal);
    }
    return parseRunResult(text, runRequest.attempt);
}

function classifyRunError(error: unknown, signal?: AbortSignal): TaskResult {
    const code = (error as { code?: unknown; }).code;
    if (typeof code === "string" && notSentCodes.has(code)) {
        return { kind: "notRun", reason: "unreachable" };
    }
    return { kind: "unknown", reason: signal?.aborted ? "timeout" : "connectionLost" };
}

/** Accepts an answer only if it is complete and carries the id of the requested attempt. */
function parseRunResult(text: string, attempt: string): TaskResult {
    let json: unknown;
    try {
        json = JSON.parse(text);
    }
    catch {
        return { kind: "unknown", reason: "truncated" };
    }
    const parsed = resultSchema.safeParse(json);
    if (!parsed.success) {
        return { kind: "unknown", reason: "truncated" };
    }
    const { attempt: answeredAttempt, ...result } = parsed.data;
    return answeredAttempt === attempt ? result as TaskResult : { kind: "unknown", reason: "crossed" };
}
