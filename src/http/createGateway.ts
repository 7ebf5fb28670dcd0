import type { Context, ServiceSchema } from "moleculer";
import ApiGateway from "moleculer-web";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createProblem, type Problem } from "../errors";
import type { HttpMeta } from "./httpMeta";

export interface GatewayOptions {
    readonly host: string;
    readonly port: number;
    readonly maxBodyBytes: number;
    /** With a certificate and its key, as PEM texts, callers and operators use HTTPS. */
    readonly certificates?: { readonly cert: string; readonly key: string; };
    /** How long a request may take to arrive whole, in milliseconds. */
    readonly maxBodyMs: number;
    /** Action by "METHOD /path", as moleculer-web names them. */
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
            // Ahead of the gateway's own listener: its middlewares run only once the body has been read.
            (this as unknown as GatewayService).server.prependListener("request", limitArrival(opts));
        },
    };
}

interface GatewayService {
    readonly server: Server;
}

/**
 * A client that sends its body a byte at a time would hold a connection and its buffers for minutes, and many such
 * clients all of them. It is answered and cut off when the time is over.
 *
 * A body whose length is announced above the limit is refused at once: on a busy machine the time could be over before
 * the body is looked at, and the client would send it again and again for having been too slow.
 */
function limitArrival({ maxBodyMs, maxBodyBytes }: GatewayOptions) {
    return (req: IncomingMessage, res: ServerResponse): void => {
        const cutOff = (): void => {
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
        // After a stall of this process timers fire before arrived bytes are read; a body that is here still counts.
        const timer = setTimeout(() => setImmediate(cutOff), maxBodyMs);
        req.once("end", () => clearTimeout(timer));
        req.once("close", () => clearTimeout(timer));
        if (Number(req.headers["content-length"]) > maxBodyBytes) {
            writeProblem(res, createProblem("BODY_TOO_LARGE", bodyTooLarge));
            req.resume();
        }
    };
}

const bodyTooLarge = "the body is above the limit of this entry";

/** Answers before the body has been read, and ends the connection after it. */
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

/** Errors before an action is reached: the body cannot be read or the path is not known. */
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
            return createProblem("BODY_TOO_LARGE", bodyTooLarge);
        default:
            return createProblem("INVALID_REQUEST", error.message);
    }
}
