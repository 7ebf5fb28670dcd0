import { serveJson } from "./serveJson.mjs";

/** The platform's interface to machines: a fixed list. Orders are refused as busy; no case needs them. */
export function serveMachines(machines) {
    return serveJson(({ method, path }) =>
        method === "GET" && path === "/machines"
            ? { status: 200, body: { machines, nextToken: "" } }
            : { status: 409, body: { reason: "busy" } }
    );
}
