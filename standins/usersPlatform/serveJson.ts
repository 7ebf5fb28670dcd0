import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";

export interface JsonRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: Record<string, unknown>;
}

/** `"drop"`: the connection breaks without an answer. */
export type JsonReply = { readonly status: number; readonly body?: unknown; } | "drop";

export interface JsonServer {
    /** Address and port, as in 127.0.0.1:4711. */
    readonly address: string;
    close(): void;
}

/** Serves JSON over HTTP on loopback, on a free port where none is named. */
export async function serveJson(
    handle: (request: JsonRequest) => Promise<JsonReply> | JsonReply,
    port = 0,
): Promise<JsonServer> {
    const server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const url = new URL(req.url ?? "/", "http://stand-in");
            const text = Buffer.concat(chunks).toString();
            const body = text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
            const request = {
                method: req.method ?? "",
                path: url.pathname,
                query: url.searchParams,
                headers: req.headers,
                body,
            };
            void Promise.resolve(handle(request)).then((reply) => {
                if (reply === "drop") {
                    req.socket.destroy();
                    return;
                }
                res.writeHead(reply.status, { "content-type": "application/json" });
                res.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
            });
        });
    });
    server.keepAliveTimeout = 0;
    await new Promise<void>((resolve) => server.listen(port, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}
