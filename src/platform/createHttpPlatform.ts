import { type Either, Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { z } from "zod";
import type { InstanceListing, KnownRevisions, Platform, PlatformFailure, StoredValue, SwapFailure } from "./platform";

export interface HttpPlatformOptions {
    /** Base address of the platform's service, such as `http://127.0.0.1:7000`. */
    readonly url: string;
    /** How long one call may take, in milliseconds. */
    readonly timeoutMs: number;
}

const storedSchema = z.object({ text: z.string(), revision: z.number().int().positive() });
const conflictSchema = z.object({ current: storedSchema.optional() });
const writtenSchema = z.object({ revision: z.number().int().positive() });
const changesSchema = z.object({ changes: z.record(z.string(), storedSchema) });
const listSchema = z.object({
    instances: z.array(z.object({ instance: z.string(), status: z.enum(["live", "leaving"]) })),
});

/** Errors that undici raises before any byte of the request has left. */
const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Connects to the platform's service over HTTP with JSON bodies. */
export function createHttpPlatform(opts: HttpPlatformOptions): Platform {
    const agent = new Agent({ connections: 16, connect: { timeout: opts.timeoutMs } });

    async function call(method: "GET" | "POST" | "DELETE", path: string, body: unknown, timeoutMs: number) {
        const response = await request(opts.url + path, {
            method,
            dispatcher: agent,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal: AbortSignal.timeout(timeoutMs),
            ...body === undefined
                ? {}
                : { headers: { "content-type": "application/json" }, body: JSON.stringify(body) },
        });
        return { status: response.statusCode, json: await response.body.json() as unknown };
    }

    async function get<T>(path: string, schema: z.ZodType<T>, timeoutMs: number): Promise<Either<PlatformFailure, T>> {
        try {
            const { status, json } = await call("GET", path, undefined, timeoutMs);
            return status === 200 ? Right(schema.parse(json)) : Left(unavailable(`status ${status}`));
        }
        catch (error) {
            return Left(unavailable(String(error)));
        }
    }

    return {
        async read(key) {
            const answer = await get(
                `/kv/${encodeURIComponent(key)}`,
                z.object({ stored: storedSchema.optional() }),
                opts.timeoutMs,
            );
            return answer.map(({ stored }): StoredValue | undefined => stored);
        },
        async compareAndSwap(key, expectedRevision, text): Promise<Either<SwapFailure, number>> {
            try {
                const path = `/kv/${encodeURIComponent(key)}`;
                const { status, json } = await call("POST", path, { expectedRevision, text }, opts.timeoutMs);
                return readSwapAnswer(status, json, text);
            }
            catch (error) {
                return Left({ kind: wasSent(error) ? "unknown" : "unavailable", detail: String(error) });
            }
        },
        async remove(key): Promise<Either<PlatformFailure, void>> {
            try {
                const { status } = await call("DELETE", `/kv/${encodeURIComponent(key)}`, undefined, opts.timeoutMs);
                return status === 200 || status === 404 ? Right(undefined) : Left(unavailable(`status ${status}`));
            }
            catch (error) {
                return Left(unavailable(String(error)));
            }
        },
        async watch(known: KnownRevisions, waitMs) {
            const body = { known: Object.fromEntries(known), waitMs };
            try {
                const { status, json } = await call("POST", "/watch", body, waitMs + opts.timeoutMs);
                if (status !== 200) {
                    return Left(unavailable(`status ${status}`));
                }
                return Right(new Map(Object.entries(changesSchema.parse(json).changes)));
            }
            catch (error) {
                return Left(unavailable(String(error)));
            }
        },
        async listInstances(): Promise<Either<PlatformFailure, readonly InstanceListing[]>> {
            return (await get("/instances", listSchema, opts.timeoutMs)).map(({ instances }) => instances);
        },
        async close() {
            await agent.destroy();
        },
    };
}

function readSwapAnswer(status: number, json: unknown, text: string): Either<SwapFailure, number> {
    switch (status) {
        case 200:
            return Right(writtenSchema.parse(json).revision);
        case 409:
            return Left({ kind: "conflict", current: conflictSchema.parse(json).current });
        case 413:
            return Left({ kind: "tooLarge", sizeBytes: Buffer.byteLength(text) });
        case 503:
            return Left({ kind: "unavailable", detail: "status 503" });
        default:
            return Left({ kind: "unknown", detail: `status ${status}` });
    }
}

function unavailable(detail: string): PlatformFailure {
    return { kind: "unavailable", detail };
}

function wasSent(error: unknown): boolean {
    const code = (error as { code?: unknown; }).code;
    return typeof code !== "string" || !notSentCodes.has(code);
}
