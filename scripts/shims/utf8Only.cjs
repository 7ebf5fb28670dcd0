/**
 * Stands in for tables of old character sets that libraries of the HTTP gateway bring along. All bodies are UTF-8, and
 * the tables are a third of the bundle, which every start has to compile.
 */
const isUtf8 = (name) => /^utf-?8$/i.test(name);

class Decoder {
    constructor() {
        this.chunks = [];
    }

    write(chunk) {
        this.chunks.push(Buffer.from(chunk));
        return "";
    }

    end() {
        return Buffer.concat(this.chunks).toString("utf8");
    }
}

module.exports = {
    encodingExists: isUtf8,
    getDecoder: () => new Decoder(),
    decode: (bytes) => Buffer.from(bytes).toString("utf8"),
    toASCII: (name) => name.toLowerCase(),
    toUnicode: (name) => ({ domain: name, error: false }),
    PROCESSING_OPTIONS: { TRANSITIONAL: 0, NONTRANSITIONAL: 1 },
    TextDecoder,
    TextEncoder,
};
