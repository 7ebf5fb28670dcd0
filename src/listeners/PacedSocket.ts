import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { type BodyFraming, createRequestSlicer, type RequestSlicer, type SlicerGate } from "./createRequestSlicer";
import type { Turns } from "./createTurns";

export interface PacedSocketOptions {
    readonly socket: Socket;
    readonly turns: Turns;
    readonly maxHeadBytes: number;
    /** Requests of this connection that may be open at once. */
    readonly maxPipelinedRequests: number;
}

/** While more bytes than this wait to be sent, no further request or frame is read. */
const maxUnsentBytes = { requests: 16 * 1024, frames: 1024 * 1024 } as const;

/** Larger writes are divided, so that a client that reads slowly can be told from one that doesn't read, in bytes. */
const maxWriteBytes = 16 * 1024;

/**
 * A connection that is read on only when answers have left: the parser is given one request at a time, and no further one
 * while the number of open requests or the unsent bytes are at their limit. What the client has sent ahead stays in the
 * buffers of the kernel, except for one received piece of up to 64 KiB.
 */
export class PacedSocket extends Duplex {
    private readonly opts: PacedSocketOptions;
    private readonly slicer: RequestSlicer;
    private readonly openResponses = new Set<ServerResponse>();
    private latestRequest: IncomingMessage | undefined;
    private isUpgraded = false;
    private isPumping = false;
    private isDeferred = false;
    private hasEnded = false;

    constructor(opts: PacedSocketOptions) {
        super({ allowHalfOpen: true });
        this.opts = opts;
        this.slicer = createRequestSlicer(opts.maxHeadBytes);
        const { socket } = opts;
        socket.on("data", (bytes) => {
            this.slicer.append(bytes);
            this.pump();
        });
        socket.on("end", () => {
            this.hasEnded = true;
            this.pump();
        });
        socket.on("error", (error) => this.destroy(error));
        socket.on("close", () => this.destroy());
        this.on("resume", () => this.pump());
        this.on("drain", () => this.pump());
        // While no parser is attached, an error would end the process; whoever needs to know listens for "close".
        this.on("error", () => {});
    }

    get remoteAddress(): string | undefined {
        return this.opts.socket.remoteAddress;
    }

    get remotePort(): number | undefined {
        return this.opts.socket.remotePort;
    }

    /** Counts a request as open until its response has left or the connection has closed. */
    beginRequest(request: IncomingMessage, response: ServerResponse): void {
        this.latestRequest = request;
        this.slicer.beginBody(framingOf(request));
        this.openResponses.add(response);
        response.once("close", () => {
            this.openResponses.delete(response);
            this.pump();
        });
    }

    /** Whether the connection has no open request, and no part of one has been received. */
    isIdle(): boolean {
        return !this.isUpgraded && this.openResponses.size === 0 && this.slicer.waitingBytes() === 0;
    }

    /** The connection carries frames from now on; requests on it are no longer counted here. */
    beginFrames(): void {
        this.isUpgraded = true;
        this.slicer.beginFrames();
    }

    /** Closes the connection once all has been sent. */
    destroySoon(): void {
        this.end();
        if (this.writableFinished) {
            this.destroy();
        }
        else {
            this.once("finish", () => this.destroy());
        }
    }

    /** Bytes are pushed when they may be parsed, not when the parser asks for more. */
    override _read(): void {}

    override _write(bytes: Buffer, _encoding: BufferEncoding, onWritten: (error?: Error | null) => void): void {
        const { socket } = this.opts;
        if (bytes.length <= maxWriteBytes) {
            socket.write(bytes, onWritten);
            return;
        }
        socket.write(bytes.subarray(0, maxWriteBytes), (error) => {
            if (error) {
                onWritten(error);
                return;
            }
            this._write(bytes.subarray(maxWriteBytes), _encoding, onWritten);
        });
    }

    override _final(onEnded: (error?: Error | null) => void): void {
        this.opts.socket.end(() => onEnded());
    }

    override _destroy(error: Error | null, onDestroyed: (error: Error | null) => void): void {
        this.opts.socket.destroy();
        onDestroyed(error);
    }

    private gate(): SlicerGate {
        const limit = this.isUpgraded ? maxUnsentBytes.frames : maxUnsentBytes.requests;
        return {
            mayBegin: this.openResponses.size < this.opts.maxPipelinedRequests && this.writableLength < limit,
            isIncomplete: this.latestRequest?.complete === false,
        };
    }

    /** Passes on what may be parsed now, and reads on once all of it has been passed on. */
    private pump(): void {
        if (this.isPumping || this.destroyed) {
            return;
        }
        this.isPumping = true;
        let hasPushed = true;
        while (hasPushed && this.canPush()) {
            hasPushed = this.pushNext();
        }
        this.isPumping = false;
        this.readOn();
    }

    /** The parser takes what is pushed at once, unless it has paused or is not attached yet. */
    private canPush(): boolean {
        return !this.destroyed && this.readableFlowing === true && this.readableLength === 0;
    }

    /** Returns false if nothing may be passed on now. */
    private pushNext(): boolean {
        const gate = this.gate();
        const next = this.slicer.next(gate);
        if (next === "none") {
            return false;
        }
        if (next === "begin" && !this.opts.turns.tryTake()) {
            this.defer();
            return false;
        }
        this.push(this.slicer.take(gate));
        return true;
    }

    private defer(): void {
        if (!this.isDeferred) {
            this.isDeferred = true;
            this.opts.turns.defer(() => {
                this.isDeferred = false;
                this.pump();
            });
        }
    }

    private readOn(): void {
        const { socket } = this.opts;
        if (this.destroyed) {
            return;
        }
        if (this.isBlocked()) {
            socket.pause();
        }
        else if (this.hasEnded) {
            // What is left is a part of a request that will never be complete.
            this.hasEnded = false;
            this.push(null); // eslint-disable-line no-restricted-syntax -- the end of a stream
        }
        else if (socket.isPaused()) {
            socket.resume();
        }
    }

    /** Whether received bytes wait for something other than further bytes. */
    private isBlocked(): boolean {
        return this.slicer.waitingBytes() > 0
            && (this.isDeferred || !this.canPush() || this.slicer.next({ ...this.gate(), mayBegin: true }) !== "none");
    }
}

function framingOf({ headers }: IncomingMessage): BodyFraming {
    return headers["transfer-encoding"] === undefined
        ? { kind: "length", bytes: Number(headers["content-length"] ?? 0) }
        : { kind: "chunked" };
}
