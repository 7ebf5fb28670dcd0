import type { Context, ServiceSchema } from "moleculer";
import ApiGateway from "moleculer-web";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createProblem, type Problem } from "../errors";
import type { HttpMeta } from "./httpMeta";

export interface GatewayOptions {
    readonly host: string;
    readonly port: number;
    readonly maxBodyBytes: number;
    /** Certificate and key in PEM format; if present, the gateway serves HTTPS. */
    readonly certificates?: { readonly cert: string; readonly key: string; };
    /** Time limit for receiving a whole request, in milliseconds. */
    readonly maxBodyMs: number;
    /** Action by "METHOD /path", in the notation of moleculer-web. */
    readonly aliases: Readonly<Record<string, string>>;
    readonly metricsText: () => Promise<string>;
    readonly isReady: () => boolean;
}

/** Creates the moleculer service that listens for callers and operators. */
export function createGateway(opts: GatewayOptions): ServiceSchema {
    const json = { limit: opts.maxBodyBytes };
    return {
        name: "gateway",
        mixins: [ApiGateway as unknown as ServiceSchema],
        settings: {
            ip: opts.host,
            port: opts.port,
            ...opts.certificates === undefined ? {} : { https: opts.certificates },
            routes: [
                {
                    path: "/",
                    mappingPolicy: "restrict",
                    aliases: {
                        "GET /health": (_req: IncomingMessage, res: ServerResponse) => writeText(res, 200, "ok\n"),
                        "GET /ready": (_req: IncomingMessage, res: ServerResponse) =>
                            opts.isReady() ? writeText(res, 200, "ready\n") : writeText(res, 503, "not ready\n"),
                        "GET /metrics": async (_req: IncomingMessage, res: ServerResponse) =>
                            writeText(res, 200, await opts.metricsText()),
                        ...opts.aliases,
                    },
                    bodyParsers: { json },
                    onBeforeCall: prepareCall,
                    onError: writeError,
                },
            ],
            onError: writeError,
        },
        created() {
            // Runs before the gateway's own listener, whose middlewares run only after the body has been read.
            (this as unknown as GatewayService).server.prependListener("request", limitBody(opts));
        },
    };
}

interface GatewayService {
    readonly server: Server;
}

/**
 * Limits the time and the size of a request body.
 *
 * A client that sends its body byte by byte holds a connection and its buffers for minutes, and many such clients use
 * up all connections. When the time limit has passed, the gateway responds with an error and closes the connection.
 *
 * A body with a `content-length` above the limit is refused at once. On a busy machine, the time limit could otherwise
 * pass before the body is read, and the client would keep retrying because its body was reported as too slow.
 */
function limitBody({ maxBodyMs, maxBodyBytes }: GatewayOptions) {
    return (req: IncomingMessage, res: ServerResponse): void => {
        const closeIfIncomplete = (): void => {
            if (req.complete) {
                return;
            }
            if (res.headersSent) {
                req.socket.destroy();
                return;
            }
            const problem = createProblem("BODY_TOO_SLOW", `the body took longer than ${maxBodyMs} ms`);
            writeProblem(res, problem, () => req.socket.destroy());
        };
        // After a stall of this process, timers fire before received bytes are read; a body that has arrived counts.
        const timer = setTimeout(() => setImmediate(closeIfIncomplete), maxBodyMs);
        req.once("end", () => clearTimeout(timer));
        req.once("close", () => clearTimeout(timer));
        if (Number(req.headers["content-length"]) > maxBodyBytes) {
            writeProblem(res, createProblem("BODY_TOO_LARGE", bodyTooLargeDetail));
            req.resume();
        }
    };
}

const bodyTooLargeDetail = "the body is above the limit of this entry";

/** Responds before the body has been read, and closes the connection afterwards. */
function writeProblem(res: ServerResponse, problem: Problem, onSent?: () => void): void {
    res.writeHead(problem.status, { "content-type": "application/problem+json", connection: "close" });
    res.end(JSON.stringify(problem), onSent);
}

function prepareCall(
    ctx: Context<unknown, HttpMeta>,
    _route: unknown,
    req: IncomingMessage,
    res: ServerResponse,
): void {
    const [scheme, secret] = (req.headers.authorization ?? "").split(" ", 2);
    if (scheme?.toLowerCase() === "bearer" && secret !== undefined) {
        ctx.meta.secret = secret;
    }
    const controller = new AbortController();
    res.on("close", () => res.writableFinished || controller.abort());
    ctx.meta.signal = controller.signal;
}

function writeText(res: ServerResponse, status: number, text: string): void {
    res.writeHead(status, { "content-type": "text/plain" });
    res.end(text);
}

/** Handles errors that occur before an action is called: an unreadable body or an unknown path. */
function writeError(_req: IncomingMessage, res: ServerResponse, error: { code?: number; message: string; }): void {
    if (res.headersSent) {
        return;
    }
    const problem = toProblem(error);
    res.writeHead(problem.status, { "content-type": "application/problem+json" });
    res.end(JSON.stringify(problem));
}

function toProblem(error: { code?: number; message: string; }): Problem {
    switch (error.code) {
        case 404:
            return createProblem("NOT_FOUND", "there is nothing at this path");
        case 413:
            return createProblem("BODY_TOO_LARGE", bodyTooLargeDetail);
        default:
            return createProblem("INVALID_REQUEST", error.message);
    }
}
