import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Longer texts are stored compressed; shorter ones stay readable in the platform's service. */
const maxPlainBytes = 32 * 1024;

/** Most bytes that a stored value may unfold to; more is refused as malformed. */
const maxUnfoldedBytes = 64 * 1024 * 1024;

const compressedMark = "deflate-base64:";

/** Writes a value as JSON text, compressed where it is long. */
export function encodeValue(value: unknown): string {
    const text = JSON.stringify(value);
    return text.length <= maxPlainBytes
        ? text
        : compressedMark + deflateRawSync(text).toString("base64");
}

/** Reads what `encodeValue` wrote; gives `undefined` where the text is malformed. */
export function decodeValue(text: string): unknown {
    try {
        if (!text.startsWith(compressedMark)) {
            return JSON.parse(text);
        }
        const packed = Buffer.from(text.slice(compressedMark.length), "base64");
        return JSON.parse(inflateRawSync(packed, { maxOutputLength: maxUnfoldedBytes }).toString());
    }
    catch {
        return undefined;
    }
}
