import { Flags } from "@oclif/core";
import { type Either, Left, Right } from "purify-ts";
import { request } from "undici";
import { Outcome, type Problem } from "../errors";
import { ExitCode } from "./exitCode";
import { writeAnswer, writeError, writeProblem } from "./output";

/** Flags of the commands that send requests to an entry. */
export const entryFlags = {
    entries: Flags.string({
        description: "addresses of entries, separated by commas; the first that answers is used",
        env: "SAMPHIREPIN_ENTRIES",
        default: "http://127.0.0.1:7080",
    }),
    credential: Flags.string({
        description: "operator credential; prefer the environment variable, which other users cannot see",
        env: "SAMPHIREPIN_CREDENTIAL",
        required: true,
    }),
    json: Flags.boolean({ description: "print JSON" }),
};

export interface EntryRequest {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body?: unknown;
    /** Timeout for the response, in milliseconds. */
    readonly timeoutMs?: number;
}

/** Why a call failed: the entry returned a problem, no entry could be reached, or the response was lost. */
export type CallFailure =
    | { readonly kind: "problem"; readonly problem: Problem; }
    | { readonly kind: "unreachable"; readonly detail: string; }
    /** A change may have been sent, and its response was lost. */
    | { readonly kind: "lost"; readonly detail: string; };

interface Connection {
    readonly entries: string;
    readonly credential: string;
}

const defaultTimeoutMs = 15_000;

/** Tries the entries in turn until one answers. A change goes to the next entry only if it was certainly not sent. */
export async function callEntry(flags: Connection, call: EntryRequest): Promise<Either<CallFailure, unknown>> {
    let last: CallFailure = { kind: "unreachable", detail: "no entry address was given" };
    for (const address of flags.entries.split(",").filter((part) => part !== "")) {
        const answer = await callOne(address, flags.credential, call);
        const failure = answer.swap().orDefault(last);
        if (answer.isRight() || failure.kind !== "unreachable") {
            return answer;
        }
        last = failure;
    }
    return Left(last);
}

async function callOne(address: string, credential: string, call: EntryRequest): Promise<Either<CallFailure, unknown>> {
    try {
        const response = await request(address.replace(/\/$/, "") + call.path, {
            method: call.method,
            headers: {
                authorization: `Bearer ${credential}`,
                ...call.body === undefined ? {} : { "content-type": "application/json" },
            },
            ...call.body === undefined ? {} : { body: JSON.stringify(call.body) },
            signal: AbortSignal.timeout(call.timeoutMs ?? defaultTimeoutMs),
        });
        const body = await response.body.json();
        return response.statusCode < 300 ? Right(body) : Left({ kind: "problem", problem: body as Problem });
    }
    catch (error) {
        const code = (error as { code?: unknown; }).code;
        const isKnownUnsent = code === "ECONNREFUSED" || code === "EHOSTUNREACH" || code === "ENETUNREACH";
        const isSafeToRetry = call.method === "GET" || isKnownUnsent;
        return Left({ kind: isSafeToRetry ? "unreachable" : "lost", detail: `${address}: ${String(error)}` });
    }
}

/** Prints the failure and returns its exit code. */
export function reportFailure(failure: CallFailure, isJson: boolean): ExitCode {
    switch (failure.kind) {
        case "problem":
            writeAnswer(failure.problem, isJson, writeProblem);
            return failure.problem.outcome === Outcome.Unknown ? ExitCode.Unknown : ExitCode.Refused;
        case "unreachable":
            writeError(`no entry answered: ${failure.detail}`);
            return ExitCode.Unreachable;
        case "lost":
            writeError(`the response was lost; the change may have been made: ${failure.detail}`);
            return ExitCode.Unknown;
    }
}
