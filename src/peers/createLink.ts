import { Packr } from "msgpackr";
import { type RawData, WebSocket } from "ws";
import { type Frame, frameSchema } from "./messages";
import type { Peer } from "./peers";

/** Largest frame taken from a link. */
export const maxFrameBytes = 2 * 1024 * 1024;

/** Bytes that may wait for a peer that reads slowly; above, the link is given up and its memory with it. */
const maxBufferedBytes = 8 * 1024 * 1024;

/** Bytes of all links together, as frames; headers of TCP and below are not counted. */
export interface Traffic {
    sentBytes: number;
    receivedBytes: number;
    sentFrames: number;
}

/** One WebSocket with the peer at its other end. */
export interface Link {
    readonly socket: WebSocket;
    peer: Peer | undefined;
    readonly openedAtMs: number;
    heardAtMs: number;
    sentAtMs: number;
    /** Gives false where the frame did not leave: the link is closed, or its peer reads too slowly. */
    write(frame: Frame): boolean;
    /** Gives `undefined` where the bytes are not a frame. */
    parse(data: RawData): Frame | undefined;
}

export function createLink(socket: WebSocket, traffic: Traffic): Link {
    const packr = new Packr({ useRecords: false });
    const link: Link = {
        socket,
        peer: undefined,
        openedAtMs: Date.now(),
        heardAtMs: Date.now(),
        sentAtMs: 0,
        write(frame) {
            if (socket.readyState !== WebSocket.OPEN) {
                return false;
            }
            if (socket.bufferedAmount > maxBufferedBytes) {
                socket.terminate();
                return false;
            }
            const bytes = packr.pack(frame);
            link.sentAtMs = Date.now();
            traffic.sentBytes += bytes.length;
            traffic.sentFrames++;
            socket.send(bytes, () => {});
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
