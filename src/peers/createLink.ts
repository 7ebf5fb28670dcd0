import { Packr } from "msgpackr";
import { type RawData, WebSocket } from "ws";
import { type Frame, frameSchema } from "./frameSchema";
import type { Peer } from "./peers";

/** Largest frame accepted from a link, in bytes. */
export const maxFrameBytes = 2 * 1024 * 1024;

/** Most bytes buffered for a peer that reads slowly; above it, the link is terminated to free the memory. */
const maxBufferedBytes = 8 * 1024 * 1024;

/** Traffic of all links together, in frames and their bytes; headers of TCP and lower layers are not counted. */
export interface Traffic {
    sentBytes: number;
    receivedBytes: number;
    sentFrames: number;
}

/** A WebSocket connection to a peer. */
export interface Link {
    readonly socket: WebSocket;
    /** `undefined` until the peer's hello frame. */
    peer: Peer | undefined;
    /** This time and the two below are in milliseconds since the epoch. */
    readonly openedAtMs: number;
    /** Requests of the peer that are being handled. */
    openRequests: number;
    lastReceivedAtMs: number;
    lastSentAtMs: number;
    /** Returns false if the frame was not sent: the link is not open, or its peer reads too slowly. */
    write(frame: Frame): boolean;
    /** Returns `undefined` if the bytes are not a valid frame. */
    parse(data: RawData): Frame | undefined;
}

/**
 * @param maxUnsentFrames while this many frames wait to be sent, nothing is read: each answer that a peer doesn't read would
 * be followed by others
 */
export function createLink(socket: WebSocket, traffic: Traffic, maxUnsentFrames: number): Link {
    const packr = new Packr({ useRecords: false });
    let unsentFrames = 0;

    function onSent(): void {
        unsentFrames--;
        if (socket.isPaused && unsentFrames <= maxUnsentFrames / 2) {
            socket.resume();
        }
    }

    const link: Link = {
        socket,
        peer: undefined,
        openedAtMs: Date.now(),
        openRequests: 0,
        lastReceivedAtMs: Date.now(),
        lastSentAtMs: 0,
        write(frame) {
            if (socket.readyState !== WebSocket.OPEN) {
                return false;
            }
            if (socket.bufferedAmount > maxBufferedBytes) {
                socket.terminate();
                return false;
            }
            const bytes = packr.pack(frame);
            link.lastSentAtMs = Date.now();
            traffic.sentBytes += bytes.length;
            traffic.sentFrames++;
            unsentFrames++;
            socket.send(bytes, onSent);
            if (unsentFrames >= maxUnsentFrames) {
                socket.pause();
            }
            return true;
        },
        parse(data) {
            try {
                const bytes = Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data as Buffer);
                traffic.receivedBytes += bytes.length;
                const parsed = frameSchema.safeParse(packr.unpack(bytes));
                return parsed.success ? parsed.data : undefined;
            }
            catch {
                return undefined;
            }
        },
    };
    return link;
}
