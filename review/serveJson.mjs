import { createServer } from "node:http";

/**
 * Serves JSON over HTTP on a loopback address. The handler returns `{ status, body }`, or `undefined` to leave the call
 * without an answer.
 */
export async function serveJson(handle, { host = "127.0.0.1", port = 0 } = {}) {
    const server = createServer((req, res) => {
        const chunks = [];
        req.on("data", (chunk) => chunks.push(chunk));
        req.on("end", async () => {
            const url = new URL(req.url, "http://stand-in");
            const text = Buffer.concat(chunks).toString();
            const reply = await handle({
                method: req.method,
                path: url.pathname,
                query: url.searchParams,
                headers: req.headers,
                body: text === "" ? {} : JSON.parse(text),
            });
            if (reply === undefined || res.destroyed) {
                return;
            }
            res.writeHead(reply.status, { "content-type": "application/json" });
            res.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
        });
    });
    server.keepAliveTimeout = 0;
    await new Promise((resolve) => server.listen(port, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}
