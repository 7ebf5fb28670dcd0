import { randomUUID } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import type { StoredValue } from "../platform";
import { applyCommand, type CommandRecord, createEmptyState, type FleetState } from "../state";
import type { AppendFailure, AppendRequest, Configuration, ConfigurationOptions } from "./configuration";
import { emptyLog, logKey, logSchema, type LogValue } from "./logValue";

/** Most rounds of compare-and-swap for one command before it is given up as unavailable. */
const maxSwapRounds = 8;

/** Follows the log with one waiting watch and appends by compare-and-swap. */
export function createConfiguration(opts: ConfigurationOptions): Configuration {
    const listeners = new Set<(state: FleetState) => void>();
    let state: FleetState | undefined;

    function adopt(log: LogValue): void {
        let next = state ?? createEmptyState();
        for (const record of log.records.slice(next.revision - log.baseRevision)) {
            next = applyCommand(next, record).orDefault(next);
        }
        if (state === undefined || next.revision > state.revision) {
            state = next;
            listeners.forEach((listener) => listener(next));
        }
    }

    async function tryAppend(record: CommandRecord): Promise<Either<AppendFailure, number> | "again"> {
        const read = await opts.platform.read(logKey);
        if (read.isLeft()) {
            return Left({ kind: "unavailable", detail: "the platform does not answer" });
        }
        const stored = read.orDefault(undefined);
        const log = parseLog(stored);
        adopt(log);
        const at = log.records.findIndex(({ id }) => id === record.id);
        if (at >= 0) {
            return Right(log.baseRevision + at + 1);
        }
        const applied = applyCommand(state ?? createEmptyState(), record);
        if (applied.isLeft()) {
            return applied.mapLeft(({ detail }): AppendFailure => ({ kind: "rejected", detail })).map(() => 0);
        }
        const next: LogValue = { baseRevision: log.baseRevision, records: [...log.records, record] };
        const text = JSON.stringify(next);
        const written = await opts.platform.compareAndSwap(logKey, stored?.revision ?? 0, text);
        return written.caseOf<Either<AppendFailure, number> | "again">({
            Left: (failure) => {
                switch (failure.kind) {
                    case "conflict":
                    case "unknown":
                        return "again";
                    case "unavailable":
                        return Left({ kind: "unavailable", detail: failure.detail });
                    case "tooLarge":
                        return Left({ kind: "rejected", detail: `the log would take ${failure.sizeBytes} bytes` });
                }
            },
            Right: (revision) => {
                opts.watcher.learn(logKey, { text, revision });
                return Right(next.baseRevision + next.records.length);
            },
        });
    }

    opts.watcher.follow(logKey, (stored) => adopt(parseLog(stored)));

    return {
        state: () => state,
        async append(request: AppendRequest) {
            const record: CommandRecord = { id: randomUUID(), atMs: Date.now(), ...request };
            for (let round = 0; round < maxSwapRounds; round++) {
                const result = await tryAppend(record);
                if (result !== "again") {
                    return result;
                }
            }
            return Left({ kind: "unknown", detail: "the platform's answers were lost" });
        },
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}

function parseLog(stored: StoredValue | undefined): LogValue {
    return stored === undefined ? emptyLog : logSchema.parse(JSON.parse(stored.text));
}
