/** How the end of a request's body is found. */
export type BodyFraming =
    | { readonly kind: "length"; readonly bytes: number; }
    /** The end is only known once the body has been parsed. */
    | { readonly kind: "chunked"; };

/** Whether further requests may begin on a connection, and whether the latest one is still incomplete. */
export interface SlicerGate {
    readonly mayBegin: boolean;
    readonly isIncomplete: boolean;
}

/**
 * What can be taken next.
 *
 * - `none`: more bytes have to arrive, or no further request may begin.
 * - `rest`: bytes of the body of the latest request.
 * - `last`: bytes of that body up to its end.
 * - `begin`: bytes with which a request or frames may begin.
 */
export type NextSlice = "none" | "rest" | "last" | "begin";

/**
 * Divides the bytes of a connection so that a parser is given at most one request at a time. A parser creates objects for
 * every request in the bytes that it is given; 64 KiB hold up to 3,600.
 */
export interface RequestSlicer {
    append(bytes: Buffer): void;
    /** Bytes that have been appended and not taken. */
    waitingBytes(): number;
    next(gate: SlicerGate): NextSlice;
    /** Takes the slice that `next` has announced. */
    take(): Buffer;
    /** Whether bytes of the latest request's body are still to be taken. */
    isInBody(): boolean;
    /** Whether slices may end anywhere, because the ends of bodies are only known to the parser. */
    isWindowed(): boolean;
    /** Tells how the body of the request ends whose head was taken last. */
    beginBody(framing: BodyFraming): void;
    /** Drops the bytes that have not been taken. */
    clear(): void;
    /** From now on, the bytes are frames of an upgraded connection. */
    beginFrames(): void;
}

/** Size of a slice where requests can't be told apart, in bytes. */
const windowBytes = 512;

/** Size of a slice of an upgraded connection, in bytes. */
const frameSliceBytes = 16 * 1024;

const [lineFeed, carriageReturn] = [10, 13];

type Mode =
    | { readonly kind: "head"; }
    | { readonly kind: "body"; readonly remainingBytes: number; }
    /** A slice may end anywhere, so that it is small instead. */
    | { readonly kind: "windows"; }
    | { readonly kind: "frames"; };

export function createRequestSlicer(maxHeadBytes: number): RequestSlicer {
    let mode: Mode = { kind: "head" };
    let waiting: Buffer = Buffer.alloc(0);
    /** How far the waiting bytes have been searched for the end of a head. */
    let searchedBytes = 0;

    function takeBytes(count: number): Buffer {
        const taken = waiting.subarray(0, count);
        waiting = waiting.subarray(count);
        searchedBytes = 0;
        return taken;
    }

    /** Length of the head at the front; `undefined` while its end is missing. */
    function findHead(): number | undefined {
        const end = findHeadEnd(waiting, searchedBytes);
        if (end === undefined) {
            // The line break before the empty line may be among the last bytes.
            searchedBytes = Math.max(0, waiting.length - 2);
        }
        return end;
    }

    return {
        append(bytes) {
            waiting = waiting.length === 0 ? bytes : Buffer.concat([waiting, bytes]);
        },
        waitingBytes: () => waiting.length,
        next({ mayBegin, isIncomplete }) {
            if (mode.kind === "head") {
                waiting = skipLineBreaks(waiting);
            }
            if (waiting.length === 0) {
                return "none";
            }
            switch (mode.kind) {
                case "head":
                    return mayBegin && (findHead() !== undefined || waiting.length > maxHeadBytes) ? "begin" : "none";
                case "body":
                    return waiting.length < mode.remainingBytes ? "rest" : "last";
                case "windows":
                    return mayBegin || isIncomplete ? "begin" : "none";
                case "frames":
                    return mayBegin ? "begin" : "none";
            }
        },
        take() {
            switch (mode.kind) {
                case "head": {
                    const headBytes = findHead();
                    if (headBytes === undefined) {
                        // The parser refuses a head that is too long.
                        mode = { kind: "windows" };
                    }
                    return takeBytes(headBytes ?? waiting.length);
                }
                case "body": {
                    const bytes = takeBytes(Math.min(mode.remainingBytes, waiting.length));
                    const remainingBytes = mode.remainingBytes - bytes.length;
                    mode = remainingBytes === 0 ? { kind: "head" } : { kind: "body", remainingBytes };
                    return bytes;
                }
                case "windows":
                    return takeBytes(Math.min(windowBytes, waiting.length));
                case "frames":
                    return takeBytes(Math.min(frameSliceBytes, waiting.length));
            }
        },
        beginBody(framing) {
            // Where slices end anywhere, a part of the body may have been taken with the head.
            if (mode.kind !== "head") {
                return;
            }
            switch (framing.kind) {
                case "length":
                    mode = framing.bytes === 0 ? mode : { kind: "body", remainingBytes: framing.bytes };
                    return;
                case "chunked":
                    mode = { kind: "windows" };
                    return;
            }
        },
        isInBody: () => mode.kind === "body" || mode.kind === "windows",
        isWindowed: () => mode.kind === "windows",
        clear() {
            takeBytes(waiting.length);
        },
        beginFrames() {
            mode = { kind: "frames" };
        },
    };
}

/** Line breaks before a request are allowed and have no meaning. */
function skipLineBreaks(bytes: Buffer): Buffer {
    let at = 0;
    while (bytes[at] === lineFeed || bytes[at] === carriageReturn) {
        at++;
    }
    return at === 0 ? bytes : bytes.subarray(at);
}

/** Position after the first empty line; parsers also accept a line feed alone as a line break. */
function findHeadEnd(bytes: Buffer, from: number): number | undefined {
    for (let at = bytes.indexOf(lineFeed, from); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
        if (bytes[at + 1] === lineFeed) {
            return at + 2;
        }
        if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) {
            return at + 3;
        }
    }
    return undefined;
}
