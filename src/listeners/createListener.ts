import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createServer as createTlsServer, type TlsOptions } from "node:tls";
import { IntakeLimit } from "./connectionLoad";
import type { Intake } from "./createIntake";
import type { Turns } from "./createTurns";
import { PacedSocket } from "./PacedSocket";
import { type RequestRefusal, RequestRefusals } from "./requestRefusals";

export interface ListenerOptions {
    /** Name in log lines and metrics. */
    readonly name: string;
    /** Connections that may be open at once. */
    readonly maxConnections: number;
    /** Larger bodies are refused, in bytes. */
    readonly maxBodyBytes: number;
    /** Certificates and their options; if present, the listener takes TLS connections only. */
    readonly tls?: TlsOptions;
    /** Called for every request that is not refused here. */
    onRequest(request: IncomingMessage, response: ServerResponse): void;
    /** Called for a request to upgrade the connection; without it, such requests are ordinary ones. */
    onUpgrade?(request: IncomingMessage, socket: Duplex, head: Buffer): void;
    /** Writes the response to a request that is refused here, and ends it. */
    writeRefusal(response: ServerResponse, refusal: RequestRefusal): void;
}

/** What a listener shares with the others of its process. */
interface SharedOptions {
    readonly intake: Intake;
    readonly turns: Turns;
}

/** An HTTP server of this process. Its members are those of the runtime's servers that moleculer-web uses. */
export interface Listener {
    readonly listening: boolean;
    listen(port: number, host: string, onListening: () => void): void;
    address(): AddressInfo;
    on(event: "error", onError: (error: Error) => void): void;
    off(event: "error", onError: (error: Error) => void): void;
    /** Takes no further connections, closes idle ones, and calls back once all have closed. */
    close(onClosed: (error?: Error) => void): void;
}

/** Connections beyond `maxConnections` that are accepted so that idle ones can be closed instead. */
const replacedConnections = 16;

/** Creates an HTTP server whose connections are paced; every listener of a process is created here. */
export function createListener(opts: ListenerOptions & SharedOptions): Listener {
    const { intake, turns, name, maxConnections, writeRefusal } = opts;
    const { maxHeadBytes, maxHeadMs, maxIdleMs } = intake.limits;
    const sockets = new Set<PacedSocket>();
    let isClosing = false;
    // Requests without a host are refused here, so that they count like all others.
    const http = createHttpServer({ maxHeaderSize: maxHeadBytes, requireHostHeader: false });
    http.keepAliveTimeout = maxIdleMs;
    http.on("request", (request, response) => {
        begin(request, response);
        const refusal = findRefusal(request);
        if (refusal !== undefined) {
            socketOf(request).refuse(response, refusal);
            return;
        }
        opts.onRequest(request, response);
    });
    http.on("checkExpectation", (request, response) => {
        begin(request, response);
        socketOf(request).refuse(response, RequestRefusals.unknownExpectation);
    });
    if (opts.onUpgrade !== undefined) {
        http.on("upgrade", (request, socket, head) => {
            socketOf(request).beginFrames();
            opts.onUpgrade?.(request, socket, head);
        });
    }
    const server = opts.tls === undefined
        ? createTcpServer({ noDelay: true, allowHalfOpen: true }, accept)
        : createTlsServer({ ...opts.tls, handshakeTimeout: maxHeadMs, noDelay: true }, accept);
    server.maxConnections = maxConnections + replacedConnections;
    server.on("drop", () => intake.countLimit(name, IntakeLimit.Connections));

    function accept(socket: Socket): void {
        const paced = new PacedSocket({ socket, intake, turns, writeRefusal });
        if (!intake.connect(name, paced, maxConnections)) {
            paced.destroy();
            return;
        }
        sockets.add(paced);
        paced.once("close", () => sockets.delete(paced));
        http.emit("connection", paced);
    }

    function begin(request: IncomingMessage, response: ServerResponse): void {
        const socket = socketOf(request);
        socket.beginRequest(request, response);
        response.once("close", () => {
            if (isClosing) {
                closeIfIdle(socket);
            }
        });
    }

    function findRefusal(request: IncomingMessage): RequestRefusal | undefined {
        const { httpVersion, headers } = request;
        if (httpVersion === "1.1" && headers.host === undefined) {
            return RequestRefusals.noHost;
        }
        if (Number(headers["content-length"] ?? 0) > opts.maxBodyBytes) {
            intake.countLimit(name, IntakeLimit.BodyBytes);
            return RequestRefusals.bodyTooLarge;
        }
        return socketOf(request).isAdmittedWithoutBody() ? undefined : RequestRefusals.overloaded;
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

/** All connections of a listener's HTTP server are paced. */
function socketOf(request: IncomingMessage): PacedSocket {
    return request.socket as Duplex as PacedSocket;
}

function closeIfIdle(socket: PacedSocket): void {
    if (socket.isIdle()) {
        socket.destroySoon();
    }
}
