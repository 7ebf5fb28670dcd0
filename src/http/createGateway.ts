import type { Context, ServiceSchema } from "moleculer";
import ApiGateway from "moleculer-web";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createProblem, type Problem } from "../errors";
import type { Listener, Listeners, RequestRefusal } from "../listeners";
import type { HttpMeta } from "./httpMeta";

export interface GatewayOptions {
    readonly host: string;
    readonly port: number;
    readonly listeners: Listeners;
    /** Connections that may be open at once. */
    readonly maxConnections: number;
    readonly maxBodyBytes: number;
    /** Certificate and key in PEM format; if present, the gateway serves HTTPS. */
    readonly certificates?: { readonly cert: string; readonly key: string; };
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
        methods: {
            createServer(this: GatewayService) {
                this.server = opts.listeners.create({
                    name: "gateway",
                    maxConnections: opts.maxConnections,
                    maxBodyBytes: opts.maxBodyBytes,
                    ...opts.certificates === undefined ? {} : { tls: opts.certificates },
                    onRequest: (request, response) => void this.httpHandler(request, response),
                    writeRefusal,
                });
            },
        },
    };
}

interface GatewayService {
    server: Listener;
    httpHandler(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

const bodyTooLargeDetail = "the body is above the limit of this entry";

/** Responds to a request that the listener refuses, and closes its connection. */
function writeRefusal(res: ServerResponse, { status, code, detail, retryAfterMs }: RequestRefusal): void {
    const retryAfterSeconds = retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs / 1000);
    const problem = createProblem(code, detail, retryAfterSeconds === undefined ? {} : { retryAfterSeconds });
    res.writeHead(status, {
        "content-type": "application/problem+json",
        connection: "close",
        ...retryAfterSeconds === undefined ? {} : { "retry-after": String(retryAfterSeconds) },
    });
    res.end(JSON.stringify(problem));
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
