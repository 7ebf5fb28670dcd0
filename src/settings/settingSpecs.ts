import { z } from "zod";
import { defaultIntakeLimits, defaultMaxLinkRequests } from "../listeners";

/** A setting. Its flag is its name in kebab case, its environment variable SAMPHIREPIN_ and its name in capitals. */
export interface SettingSpec<T = unknown> {
    readonly schema: z.ZodType<T>;
    readonly description: string;
    readonly example: string;
}

const port = z.coerce.number().int().min(0).max(65535);
const durationMs = z.coerce.number().int().positive().max(24 * 3600 * 1000);
const limit = z.coerce.number().int().positive();
const file = z.string().min(1).optional();
const httpUrl = z.url({ protocol: /^https?$/ });
const name = z.string().regex(/^[\w.-]{1,128}$/, "letters, digits, dots, dashes and underscores only");

function setting<T>(schema: z.ZodType<T>, description: string, example: string): SettingSpec<T> {
    return { schema, description, example };
}

/** Every setting of `samphirepin entry`. A setting that has no default and isn't optional is required. */
export const settingSpecs = {
    instance: setting(name, "name of this instance in the platform's instance list", "entry-a1"),
    region: setting(name, "region of this instance", "north"),
    zone: setting(name, "availability zone of this instance", "zone-a"),
    host: setting(z.string().default("127.0.0.1"), "IP address to listen on", "127.0.0.1"),
    port: setting(port.default(7080), "port for callers and operators", "7080"),
    peerPort: setting(port.default(7081), "port for links between entries", "7081"),
    platformUrl: setting(httpUrl, "address of the platform's service", "http://127.0.0.1:7000"),
    platformTimeoutMs: setting(durationMs.default(2000), "timeout of a call to the platform, in milliseconds", "2000"),
    operatorHash: setting(
        z.string().regex(/^[0-9a-f]{64}$/, "SHA-256 in hexadecimal").optional(),
        "SHA-256 of an initial operator credential, for a fleet that has none yet",
        "9f86…0a08",
    ),
    taskLeaseMs: setting(durationMs.default(10_000), "lease of a task on its worker, in milliseconds", "10000"),
    maxEntries: setting(
        z.coerce.number().int().min(1).max(32).default(9),
        "maximum number of entries at once; each gets an equal part of a worker's connections",
        "9",
    ),
    workerConnections: setting(
        z.coerce.number().int().min(2).max(100_000).default(64),
        "connections that a worker accepts from all entries together",
        "64",
    ),
    queuedPerTeam: setting(
        z.coerce.number().int().positive().default(500),
        "maximum number of tasks of one team that are queued at this entry",
        "500",
    ),
    queuedTasks: setting(
        z.coerce.number().int().positive().default(4000),
        "maximum number of tasks that are queued at this entry",
        "4000",
    ),
    shareReportMs: setting(
        durationMs.default(500),
        "interval of reports of shares to other entries, in milliseconds",
        "500",
    ),
    usageMs: setting(durationMs.default(1000), "interval of reads of the workers' usage, in milliseconds", "1000"),
    heartbeatMs: setting(
        durationMs.default(1000),
        "heartbeat interval on links between entries, in milliseconds",
        "1000",
    ),
    silenceMs: setting(
        durationMs.default(4000),
        "time without a message after which an entry counts as silent, in milliseconds",
        "4000",
    ),
    seedPeers: setting(
        z.string().default("").transform((text) =>
            text.split(",").map((url) => url.trim()).filter((url) => url !== "")
        ),
        "comma-separated link addresses of other entries, for a start while the platform is down",
        "ws://127.0.0.1:7081,ws://127.0.0.2:7081",
    ),
    isolatedAfterMs: setting(
        durationMs.default(60_000),
        "silence of the platform and all peers until this entry reports isolation, in milliseconds; it keeps serving",
        "60000",
    ),
    peerCertFile: setting(
        file,
        "certificate of this entry for links between entries, as PEM",
        "/etc/samphirepin/entry.pem",
    ),
    peerKeyFile: setting(file, "key of that certificate, as PEM", "/etc/samphirepin/entry.key"),
    peerCaFile: setting(
        file,
        "certificate authority that issued the certificates of all entries, as PEM",
        "/etc/samphirepin/ca.pem",
    ),
    allowPlainPeers: setting(
        z.enum(["yes", "no"]).default("no"),
        "whether links without certificates are allowed on an address other than loopback",
        "yes",
    ),
    httpCertFile: setting(file, "certificate for callers and operators, as PEM", "/etc/samphirepin/http.pem"),
    httpKeyFile: setting(file, "key of that certificate, as PEM", "/etc/samphirepin/http.key"),
    maxBodyBytes: setting(
        z.coerce.number().int().positive().default(512 * 1024),
        "maximum size of a request body, in bytes",
        "524288",
    ),
    maxBodyMs: setting(
        durationMs.default(defaultIntakeLimits.maxBodyMs),
        "time in which the body of a request must arrive completely, in milliseconds",
        "10000",
    ),
    maxHeadBytes: setting(
        limit.default(defaultIntakeLimits.maxHeadBytes),
        "maximum size of the request line and the header fields, in bytes",
        "16384",
    ),
    maxHeadMs: setting(
        durationMs.default(defaultIntakeLimits.maxHeadMs),
        "time in which the head of a request must arrive completely, in milliseconds",
        "10000",
    ),
    maxPipelinedRequests: setting(
        limit.default(defaultIntakeLimits.maxPipelinedRequests),
        "requests of one connection that may be open at once; further ones are not read",
        "8",
    ),
    maxHeldBytes: setting(
        limit.default(defaultIntakeLimits.maxHeldBytes),
        "memory that may be held for all clients and peers, by estimate, in bytes; by default a quarter of the heap limit",
        "67108864",
    ),
    maxUnreadMs: setting(
        durationMs.default(defaultIntakeLimits.maxUnreadMs),
        "time after which a connection is closed whose client reads nothing of an answer, in milliseconds",
        "10000",
    ),
    maxIdleMs: setting(
        durationMs.default(defaultIntakeLimits.maxIdleMs),
        "time after which a connection without a request is closed, in milliseconds",
        "15000",
    ),
    maxConnections: setting(
        limit.default(1024),
        "maximum number of connections of callers and operators",
        "1024",
    ),
    maxLinks: setting(limit.default(1024), "maximum number of connections from other entries", "1024"),
    maxLinkRequests: setting(
        limit.default(defaultMaxLinkRequests),
        "requests of one link that may be open at once, and frames that may wait for its peer to read them",
        "1024",
    ),
    logLevel: setting(
        z.enum(["error", "warn", "info", "debug"]).default("info"),
        "lowest level that is logged",
        "info",
    ),
} as const;

export type Settings = { readonly [K in keyof typeof settingSpecs]: z.infer<typeof settingSpecs[K]["schema"]>; };
export type SettingOrigin = "flag" | "environment" | "default";
