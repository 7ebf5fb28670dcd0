import type { ListedEnd, ListedRun, PollResult, RequestResult, StartResult, WorkerApi } from "../../src/runs";
import { type JsonReply, type JsonRequest, type JsonServer, serveJson } from "./serveJson";

const refusals = {
    oldRun: "old",
    late: "late",
    noRoom: "room",
    noTicket: "ticket",
    invalid: "invalid",
    unhealthy: "unhealthy",
} as const;

/** Serves one worker's interface by the protocol of the users' platform. */
export function serveWorker(api: WorkerApi, id: string): Promise<JsonServer> {
    return serveJson((request) => answer(api, id, request));
}

async function answer(api: WorkerApi, id: string, { method, path, headers, body }: JsonRequest): Promise<JsonReply> {
    if (headers["x-target-instance"] !== id) {
        return { status: 421 };
    }
    const target = { id, address: id };
    const [task, run, token] = [String(body["task"]), Number(body["run"]), Number(body["fencingToken"] ?? 0)];
    switch (`${method} ${path}`) {
        case "POST /run-start": {
            const order = {
                task,
                run,
                token,
                payload: String(body["spec"]),
                checkpoint: String(body["checkpoint"] ?? ""),
                leaseUntilMs: Number(body["untilMs"]),
                ticket: undefined,
            };
            return toStartReply(await api.start(target, order));
        }
        case "POST /run-stop":
            return toOrderReply(await api.stop(target, task, run, token));
        case "POST /pace":
            return toOrderReply(await api.pace(target, task, run, Number(body["percent"]), token));
        case "POST /hold": {
            const order = {
                token,
                ackedEnd: Number(body["lastSeen"]),
                leaseUntilMs: body["untilMs"] === undefined ? undefined : Number(body["untilMs"]),
                waitMs: Number(body["waitMs"] ?? 0),
            };
            return toLookReply(await api.poll(target, order));
        }
        default:
            return { status: 404 };
    }
}

function toStartReply(result: StartResult): JsonReply {
    switch (result.kind) {
        case "started":
            return { status: 200, body: { clockMs: Math.floor(result.workerMs) } };
        case "refused":
            return result.reason === "unhealthy"
                ? { status: 503 }
                : {
                    status: 409,
                    body: { clockMs: Math.floor(result.workerMs ?? 0), reason: refusals[result.reason] },
                };
        case "fenced":
        case "otherLife":
        case "noAnswer":
            return toFailure(result.kind);
    }
}

function toOrderReply(result: RequestResult): JsonReply {
    return result.kind === "taken"
        ? { status: 200, body: { clockMs: Math.floor(result.workerMs) } }
        : toFailure(result.kind);
}

function toLookReply(result: PollResult): JsonReply {
    if (result.kind !== "listed") {
        return toFailure(result.kind);
    }
    return {
        status: 200,
        body: {
            clockMs: Math.floor(result.workerMs),
            born: result.bornMs,
            running: result.running.map(toRunningRow),
            finished: result.ended.map(toEndRow),
        },
    };
}

function toRunningRow({ task, run, checkpoint, percent, measure }: ListedRun) {
    return [task, run, checkpoint, percent, measure];
}

function toEndRow({ number, task, run, how, checkpoint }: ListedEnd) {
    return [number, task, run, how, checkpoint];
}

function toFailure(kind: "fenced" | "otherLife" | "noAnswer"): JsonReply {
    switch (kind) {
        case "fenced":
            return { status: 409, body: { clockMs: Math.floor(performance.now()), reason: "fence" } };
        case "otherLife":
            return { status: 421 };
        case "noAnswer":
            return "drop";
    }
}
