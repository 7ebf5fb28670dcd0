import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createServer as createTlsServer, type TlsOptions } from "node:tls";
import type { Intake } from "./createIntake";
import { PacedSocket } from "./PacedSocket";
import { type RequestRefusal, RequestRefusals } from "./requestRefusals";

export interface ListenerOptions {
    /** Shared by all listeners of the process. */
    readonly intake: Intake;
    /** Certificates and their options; if present, the listener takes TLS connections only. */
    readonly tls?: TlsOptions;
    /** Called for every request that is not refused here. */
    onRequest(request: IncomingMessage, response: ServerResponse): void;
    /** Called for a request to upgrade the connection; without it, such requests are ordinary ones. */
    onUpgrade?(request: IncomingMessage, socket: Duplex, head: Buffer): void;
    /** Writes the response to a request that is refused here, and ends it. */
    writeRefusal(response: ServerResponse, refusal: RequestRefusal): void;
}

/** An HTTP server of this process. Its members are those of the runtime's servers that moleculer-web and ws use. */
export interface Listener {
    readonly listening: boolean;
    listen(port: number, host: string, onListening: () => void): void;
    address(): AddressInfo;
    on(event: "error", onError: (error: Error) => void): void;
    off(event: "error", onError: (error: Error) => void): void;
    /** Takes no further connections, closes idle ones, and calls back once all have closed. */
    close(onClosed: (error?: Error) => void): void;
}

/** Creates an HTTP server whose connections are paced; every listener of a process is created here. */
export function createListener(opts: ListenerOptions): Listener {
    const { limits, turns } = opts.intake;
    const sockets = new Set<PacedSocket>();
    let isClosing = false;
    // Requests without a host are refused here, so that they count like all others.
    const http = createHttpServer({ maxHeaderSize: limits.maxHeadBytes, requireHostHeader: false });
    http.keepAliveTimeout = limits.maxIdleMs;
    http.on("request", serve);
    http.on("checkExpectation", (request, response) => {
        begin(request, response);
        opts.writeRefusal(response, RequestRefusals.unknownExpectation);
    });
    if (opts.onUpgrade !== undefined) {
        http.on("upgrade", (request, socket, head) => {
            (socket as PacedSocket).beginFrames();
            opts.onUpgrade?.(request, socket, head);
        });
    }
    const server = opts.tls === undefined
        ? createTcpServer({ noDelay: true, allowHalfOpen: true }, accept)
        : createTlsServer({ ...opts.tls, noDelay: true, allowHalfOpen: true }, accept);

    function accept(socket: Socket): void {
        const { maxHeadBytes, maxPipelinedRequests } = limits;
        const paced = new PacedSocket({ socket, turns, maxHeadBytes, maxPipelinedRequests });
        sockets.add(paced);
        paced.once("close", () => sockets.delete(paced));
        http.emit("connection", paced);
    }

    function begin(request: IncomingMessage, response: ServerResponse): void {
        const socket = request.socket as Duplex as PacedSocket;
        socket.beginRequest(request, response);
        response.once("close", () => {
            if (isClosing) {
                closeIfIdle(socket);
            }
        });
    }

    function serve(request: IncomingMessage, response: ServerResponse): void {
        begin(request, response);
        if (request.httpVersion === "1.1" && request.headers.host === undefined) {
            opts.writeRefusal(response, RequestRefusals.noHost);
            return;
        }
        opts.onRequest(request, response);
    }

    function closeIfIdle(socket: PacedSocket): void {
        if (socket.isIdle()) {
            socket.destroySoon();
        }
    }

    return {
        get listening() {
            return server.listening;
        },
        listen: (port, host, onListening) => void server.listen(port, host, onListening),
        address: () => server.address() as AddressInfo,
        on: (event, onError) => void server.on(event, onError),
        off: (event, onError) => void server.off(event, onError),
        close(onClosed) {
            isClosing = true;
            server.close(onClosed);
            sockets.forEach(closeIfIdle);
        },
    };
}
