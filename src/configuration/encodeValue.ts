import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Longer texts are compressed; shorter ones stay readable in the platform's service. */
const maxPlainBytes = 32 * 1024;

/** Limit of a stored value after decompression; a larger one is refused as malformed. */
const maxDecompressedBytes = 64 * 1024 * 1024;

const compressedPrefix = "deflate-base64:";

/** Encodes a value as JSON text, compressed if it is long. */
export function encodeValue(value: unknown): string {
    const text = JSON.stringify(value);
    return text.length <= maxPlainBytes
        ? text
        : compressedPrefix + deflateRawSync(text).toString("base64");
}

/** Decodes a text from `encodeValue`; returns `undefined` if the text is malformed. */
export function decodeValue(text: string): unknown {
    try {
        if (!text.startsWith(compressedPrefix)) {
            return JSON.parse(text);
        }
        const compressed = Buffer.from(text.slice(compressedPrefix.length), "base64");
        return JSON.parse(inflateRawSync(compressed, { maxOutputLength: maxDecompressedBytes }).toString());
    }
    catch {
        return undefined;
    }
}
