import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { type ConnectionLoad, type ConnectionPhase, estimateRequestBytes, IntakeLimit } from "./connectionLoad";
import type { Intake, IntakeConnection } from "./createIntake";
import { type BodyFraming, createRequestSlicer, type RequestSlicer, type SlicerGate } from "./createRequestSlicer";
import type { Turns } from "./createTurns";
import { type RequestRefusal, RequestRefusals } from "./requestRefusals";

export interface PacedSocketOptions {
    readonly socket: Socket;
    readonly intake: Intake;
    readonly turns: Turns;
    /** Writes the response to a request that is refused, and ends it. */
    writeRefusal(response: ServerResponse, refusal: RequestRefusal): void;
}

/** A request whose response has not left. */
interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    receivedBytes: number;
    /** Whether it is refused; none of its further bytes are passed on, so that it is not carried out. */
    isRefused: boolean;
}

/** While more bytes than this wait to be sent, no further request or frame is read. */
const maxUnsentBytes = { requests: 16 * 1024, frames: 1024 * 1024 } as const;

/** Larger writes are divided, so that a client that reads slowly can be told from one that doesn't read, in bytes. */
const maxWriteBytes = 16 * 1024;

/** Objects of unsent frames, for each of their bytes: most frames are short. The number of frames of a link is limited. */
const objectBytesPerFrameByte = 7;

/** Most that the objects of one connection's unsent frames take, in bytes. */
const maxFrameObjectBytes = 1024 * 1024;

/** Response to a head that is not complete in time; no request exists yet that could be answered. */
const headTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/**
 * A connection that is read on only when answers have left: the parser is given one request at a time, and no further one
 * while the number of open requests or the unsent bytes are at their limit. What the client has sent ahead stays in the
 * buffers of the kernel, except for one received piece of up to 64 KiB.
 */
export class PacedSocket extends Duplex implements IntakeConnection {
    private readonly opts: PacedSocketOptions;
    private readonly slicer: RequestSlicer;
    private readonly openRequests = new Map<ServerResponse, OpenRequest>();
    private latest: OpenRequest | undefined;
    /** Bytes passed on that belong to a request that has not begun. */
    private headBytes = 0;
    private requestCount = 0;
    private writtenBytes = 0;
    private isUpgraded = false;
    private isPumping = false;
    private isDeferred = false;
    private hasEnded = false;
    /** After a refusal, what arrives is dropped: closing a connection with unread bytes could destroy the response. */
    private isDiscarding = false;

    constructor(opts: PacedSocketOptions) {
        super({ allowHalfOpen: true });
        this.opts = opts;
        this.slicer = createRequestSlicer(opts.intake.limits.maxHeadBytes);
        const { socket } = opts;
        socket.on("data", (bytes) => {
            if (!this.isDiscarding) {
                this.slicer.append(bytes);
                this.pump();
            }
        });
        socket.on("end", () => {
            this.hasEnded = true;
            if (this.isDiscarding) {
                this.destroySoon();
            }
            else {
                this.pump();
            }
        });
        socket.on("error", (error) => this.destroy(error));
        socket.on("close", () => this.destroy());
        this.on("resume", () => this.pump());
        this.on("drain", () => this.pump());
        // The runtime tells only the response that is being sent of the end of its connection, not those that wait behind it.
        this.once(
            "close",
            () => process.nextTick(() => this.openRequests.forEach((_, response) => response.emit("close"))),
        );
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
        const open: OpenRequest = { request, response, receivedBytes: this.headBytes, isRefused: false };
        this.latest = open;
        this.headBytes = 0;
        this.requestCount++;
        this.slicer.beginBody(framingOf(request));
        this.openRequests.set(response, open);
        response.once("close", () => {
            this.openRequests.delete(response);
            if (this.latest === open && request.complete) {
                // An idle connection must not keep its last request in memory.
                this.latest = undefined;
            }
            this.pump();
        });
    }

    /** Whether there is memory to carry out the latest request. One with a body is checked again before its last bytes. */
    isAdmittedWithoutBody(): boolean {
        return this.latest === undefined || this.slicer.isInBody() || this.admits(this.latest);
    }

    /** Responds to a request that is not carried out. The response closes the connection. */
    refuse(response: ServerResponse, refusal: RequestRefusal): void {
        const open = this.openRequests.get(response);
        if (open !== undefined) {
            open.isRefused = true;
        }
        this.isDiscarding = true;
        this.slicer.clear();
        this.opts.socket.resume();
        this.opts.writeRefusal(response, refusal);
    }

    /** The connection carries frames from now on; requests on it are no longer counted here. */
    beginFrames(): void {
        this.isUpgraded = true;
        this.headBytes = 0;
        this.slicer.beginFrames();
    }

    /** Whether the connection has no open request, and no part of one has been received. */
    isIdle(): boolean {
        return this.phase() === "idle";
    }

    load(): ConnectionLoad {
        const frameObjectBytes = Math.min(this.writableLength * objectBytesPerFrameByte, maxFrameObjectBytes);
        let droppableBytes = this.slicer.waitingBytes() + this.headBytes + this.writableLength
            + (this.isUpgraded ? frameObjectBytes : 0);
        let requestBytes = 0;
        for (const { request, receivedBytes, isRefused } of this.openRequests.values()) {
            if (request.complete && !isRefused) {
                requestBytes += estimateRequestBytes(receivedBytes);
            }
            else {
                droppableBytes += receivedBytes;
            }
        }
        const phase = this.phase();
        const progress = phase === "unread" ? this.writtenBytes : this.requestCount;
        return { droppableBytes, requestBytes, phase, progress };
    }

    closeFor(limit: IntakeLimit): void {
        switch (limit) {
            case IntakeLimit.HeadTime:
                this.opts.socket.end(headTimeoutResponse);
                this.destroy();
                return;
            case IntakeLimit.BodyTime:
                if (this.latest === undefined || this.latest.response.headersSent) {
                    this.destroy();
                    return;
                }
                this.refuse(this.latest.response, RequestRefusals.bodyTooSlow);
                return;
            default:
                this.destroy();
        }
    }

    proceed(): void {
        this.pump();
    }

    /** Closes the connection once all has been sent; after a refusal, once the client has ended it or its time is over. */
    destroySoon(): void {
        this.end();
        if (this.isDiscarding && !this.hasEnded) {
            return;
        }
        if (this.writableFinished) {
            this.destroy();
        }
        else {
            this.once("finish", () => this.destroy());
        }
    }

    /** Bytes are pushed when they may be parsed, not when the parser asks for more. */
    override _read(): void {}

    override _write(bytes: Buffer, encoding: BufferEncoding, onWritten: (error?: Error | null) => void): void {
        this.opts.socket.write(bytes.subarray(0, maxWriteBytes), (error) => {
            this.writtenBytes += Math.min(bytes.length, maxWriteBytes);
            if (error || bytes.length <= maxWriteBytes) {
                onWritten(error);
                return;
            }
            this._write(bytes.subarray(maxWriteBytes), encoding, onWritten);
        });
        this.opts.intake.update(this);
    }

    override _final(onEnded: (error?: Error | null) => void): void {
        this.opts.socket.end(() => onEnded());
    }

    override _destroy(error: Error | null, onDestroyed: (error: Error | null) => void): void {
        this.opts.intake.disconnect(this);
        this.opts.socket.destroy();
        onDestroyed(error);
    }

    private phase(): ConnectionPhase {
        if (this.isIncomplete() || this.isDiscarding) {
            return "body";
        }
        if (this.writableLength > 0) {
            return "unread";
        }
        if (this.isUpgraded) {
            return "upgraded";
        }
        if (this.openRequests.size > 0) {
            return "busy";
        }
        return this.slicer.waitingBytes() + this.headBytes > 0 ? "head" : "idle";
    }

    private isIncomplete(): boolean {
        return this.latest?.request.complete === false;
    }

    private gate(): SlicerGate {
        const limit = this.isUpgraded ? maxUnsentBytes.frames : maxUnsentBytes.requests;
        const isOpenForMore = this.openRequests.size < this.opts.intake.limits.maxPipelinedRequests;
        return {
            mayBegin: isOpenForMore && this.writableLength < limit,
            isIncomplete: this.isIncomplete(),
        };
    }

    /** Passes on what may be parsed now, and reads on once all of it has been passed on. */
    private pump(): void {
        if (this.isPumping || this.isDiscarding || this.destroyed) {
            return;
        }
        this.isPumping = true;
        let hasPushed = true;
        while (hasPushed && this.canPush()) {
            hasPushed = this.pushNext() && !this.isDiscarding;
        }
        this.isPumping = false;
        if (!this.isDiscarding) {
            this.readOn();
        }
        this.opts.intake.update(this);
    }

    /** The parser takes what is pushed at once, unless it has paused or is not attached yet. */
    private canPush(): boolean {
        return !this.destroyed && this.readableFlowing === true && this.readableLength === 0;
    }

    /** Returns false if nothing may be passed on now. */
    private pushNext(): boolean {
        const { intake, turns } = this.opts;
        const gate = this.gate();
        const next = this.slicer.next(gate);
        switch (next) {
            case "none":
                return false;
            case "last":
                if (!this.isAdmitted()) {
                    return false;
                }
                break;
            case "begin":
                // Where bodies end unannounced, their requests wait until others have ended.
                if (this.slicer.isWindowed() && intake.isFull()) {
                    return false;
                }
                if (!turns.tryTake()) {
                    this.defer();
                    return false;
                }
                break;
            case "rest":
                break;
        }
        this.pass(this.slicer.take());
        return true;
    }

    private pass(slice: Buffer): void {
        if (this.latest !== undefined && this.isIncomplete()) {
            this.latest.receivedBytes += slice.length;
        }
        else if (!this.isUpgraded) {
            this.headBytes += slice.length;
        }
        this.push(slice);
    }

    private admits({ receivedBytes }: OpenRequest): boolean {
        return this.opts.intake.admit(this, estimateRequestBytes(receivedBytes));
    }

    /** Refuses the request whose last bytes are waiting, if it can't be carried out for want of memory. */
    private isAdmitted(): boolean {
        const { latest } = this;
        if (latest === undefined || latest.response.headersSent || this.admits(latest)) {
            return true;
        }
        this.refuse(latest.response, RequestRefusals.overloaded);
        return false;
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
            && (!this.canPush() || this.slicer.next({ ...this.gate(), mayBegin: true }) !== "none");
    }
}

function framingOf({ headers }: IncomingMessage): BodyFraming {
    return headers["transfer-encoding"] === undefined
        ? { kind: "length", bytes: Number(headers["content-length"] ?? 0) }
        : { kind: "chunked" };
}
