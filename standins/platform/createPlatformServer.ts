import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

interface Stored {
    text: string;
    revision: number;
}

/** Faults that a test or the demo can switch on. */
export interface PlatformFaults {
    /** Every call fails. */
    isDown: boolean;
    /** The answers of this many writes are lost after they took effect. */
    lostWriteAnswers: number;
    delayMs: number;
}

/** Largest value that the service takes. */
const maxValueBytes = 1024 * 1024;

/** A small key-value service with compare-and-swap, watches and an instance list, over HTTP. */
export function createPlatformServer() {
    const values = new Map<string, Stored>();
    const instances = new Map<string, "live" | "leaving">();
    const faults: PlatformFaults = { isDown: false, lostWriteAnswers: 0, delayMs: 0 };
    const watchers = new Set<() => void>();
    const calls = { read: 0, write: 0, watch: 0, list: 0 };

    async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const path = new URL(req.url ?? "/", "http://platform").pathname;
        const body = await readBody(req);
        if (path === "/control") {
            Object.assign(faults, body.faults);
            Object.entries(body.instances ?? {}).forEach(([name, status]) =>
                status === "gone" ? instances.delete(name) : instances.set(name, status as "live")
            );
            write(res, 200, { calls, values: Object.fromEntries(values) });
            return;
        }
        if (faults.isDown) {
            req.socket.destroy();
            return;
        }
        if (faults.delayMs > 0) {
            await new Promise((resolve) => setTimeout(resolve, faults.delayMs));
        }
        if (path === "/instances") {
            calls.list++;
            write(res, 200, { instances: [...instances].map(([instance, status]) => ({ instance, status })) });
        }
        else if (path === "/watch") {
            calls.watch++;
            await watch(res, body.known, body.waitMs);
        }
        else if (path.startsWith("/kv/")) {
            keyValue(req, res, decodeURIComponent(path.slice("/kv/".length)), body);
        }
        else {
            write(res, 404, {});
        }
    }

    function keyValue(
        req: IncomingMessage,
        res: ServerResponse,
        key: string,
        body: { expectedRevision: number; text: string; },
    ): void {
        const current = values.get(key);
        if (req.method === "GET") {
            calls.read++;
            write(res, 200, { stored: current });
            return;
        }
        calls.write++;
        if (req.method === "DELETE") {
            values.delete(key);
            write(res, 200, {});
            return;
        }
        if ((current?.revision ?? 0) !== body.expectedRevision) {
            write(res, 409, { current });
            return;
        }
        if (Buffer.byteLength(body.text) > maxValueBytes) {
            write(res, 413, {});
            return;
        }
        const revision = body.expectedRevision + 1;
        values.set(key, { text: body.text, revision });
        [...watchers].forEach((wake) => wake());
        if (faults.lostWriteAnswers > 0) {
            faults.lostWriteAnswers--;
            req.socket.destroy();
            return;
        }
        write(res, 200, { revision });
    }

    async function watch(res: ServerResponse, known: Record<string, number>, waitMs: number): Promise<void> {
        const endAtMs = Date.now() + waitMs;
        for (;;) {
            const changed = Object.entries(known).filter(([key, revision]) =>
                (values.get(key)?.revision ?? 0) > revision
            );
            if (changed.length > 0 || Date.now() >= endAtMs) {
                write(res, 200, { changes: Object.fromEntries(changed.map(([key]) => [key, values.get(key)])) });
                return;
            }
            await new Promise<void>((resolve) => {
                const wake = () => {
                    clearTimeout(timer);
                    watchers.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, endAtMs - Date.now());
                watchers.add(wake);
                res.once("close", wake);
            });
            if (res.destroyed || faults.isDown) {
                res.destroy();
                return;
            }
        }
    }

    const server: Server = createServer((req, res) => {
        handle(req, res).catch(() => res.destroy());
    });
    return { server, values, instances, faults, calls };
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
