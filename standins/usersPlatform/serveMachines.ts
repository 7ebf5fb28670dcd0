import type { Machine, MachineApi, MachineOrderer, MachineOrderResult } from "../../src/machines";
import { type JsonReply, type JsonRequest, type JsonServer, serveJson } from "./serveJson";

const states = { up: "up", moving: "moving", maintenance: "upkeep", down: "down" } as const;

/** Serves the interface for machines by the protocol of the users' platform. */
export function serveMachines(machines: MachineApi): Promise<JsonServer> {
    return serveJson((request) => answer(machines, request));
}

async function answer(machines: MachineApi, { method, path, headers, body }: JsonRequest): Promise<JsonReply> {
    const machine = String(body["machine"]);
    const orderer: MachineOrderer = {
        holder: String(headers["x-lease-holder"]),
        token: Number(headers["x-fencing-token"]),
    };
    switch (`${method} ${path}`) {
        case "GET /machines": {
            const result = await machines.list();
            return result.kind === "noAnswer"
                ? "drop"
                : { status: 200, body: { machines: result.machines.map(toRow), nextToken: "" } };
        }
        case "POST /machine-move":
            return toReply(await machines.move(machine, String(body["pool"]), orderer));
        case "POST /machine-upkeep":
            return toReply(await machines.maintain(machine, Number(body["wave"]), orderer));
        default:
            return { status: 404 };
    }
}

function toRow({ id, pool, state, zone, labels, capacity, workerId }: Machine) {
    return {
        machine: id,
        pool,
        state: states[state],
        zone,
        labels,
        capacity: { cpu: capacity.cpuMillis, memMb: capacity.memoryMb, gpu: capacity.accelerators },
        id: workerId ?? "",
    };
}

function toReply(result: MachineOrderResult): JsonReply {
    switch (result.kind) {
        case "done":
            return { status: 200, body: {} };
        case "fenced":
            return { status: 409, body: { reason: "fence" } };
        case "busy":
            return { status: 409, body: { reason: "busy" } };
        case "impossible":
            return { status: 400 };
        case "notNow":
            return { status: 429 };
        case "noAnswer":
            return "drop";
    }
}
