import { build } from "esbuild";
import { readFileSync } from "node:fs";

const { version } = JSON.parse(readFileSync("package.json", "utf8"));

/** Optional parts of moleculer and oclif that the program never loads. */
const neverLoaded = [
    "kafka-node",
    "avsc",
    "thrift",
    "protobufjs/*",
    "amqplib",
    "ioredis",
    "mqtt",
    "nats",
    "redlock",
    "etcd3",
    "notepack.io",
    "cbor-x",
    "rhea-promise",
    "node-nats-streaming",
    "ts-node",
    "bufferutil",
    "utf-8-validate",
];

/** Tables of character sets and of domain names in other scripts; neither is needed for UTF-8 and IP numbers. */
const utf8Only = Object.fromEntries(
    ["iconv-lite", "text-decoding", "tr46"].map((name) => [name, "./scripts/shims/utf8Only.cjs"]),
);

/** Bundles one entry point with all its libraries into one file. */
export function bundle(entryPoint, outfile) {
    return build({
        entryPoints: [entryPoint],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minify: true,
        keepNames: true,
        define: { "process.env.SAMPHIREPIN_VERSION": JSON.stringify(version) },
        // The embedded require knows built-in modules alone and warns of each optional one; this one just finds none.
        banner: { js: "require = require(\"node:module\").createRequire(\"/nonexistent/\");" },
        external: neverLoaded,
        alias: utf8Only,
        logLevel: "error",
    });
}
