import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";

/** Bundles the program into one file and puts it into a copy of the node executable. */

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

const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("build", { recursive: true });
mkdirSync("dist", { recursive: true });
await build({
    entryPoints: ["src/cli/main.ts"],
    outfile: "build/samphirepin.cjs",
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
    logLevel: "error",
});
writeFileSync(
    "build/sea.json",
    JSON.stringify({
        main: "build/samphirepin.cjs",
        output: "build/samphirepin.blob",
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "build/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, "dist/samphirepin");
chmodSync("dist/samphirepin", 0o755);
execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    "dist/samphirepin",
    "NODE_SEA_BLOB",
    "build/samphirepin.blob",
    "--sentinel-fuse",
    fuse,
], { stdio: "ignore" });
process.stdout.write("built dist/samphirepin\n");
