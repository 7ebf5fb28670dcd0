import type { Platform } from "../src/platform";
import type { CommandRecord } from "../src/state";
import type { Workers } from "../src/workers";

/** Something that an entry does at one of its interfaces; faults are injected before or after it. */
export interface StepEvent {
    readonly boot: string;
    readonly kind:
        | "taskTaken"
        | "taskCancelled"
        | "claimWrite"
        | "limitsWrite"
        | "membersWrite"
        | "logWrite"
        | "watch"
        | "send"
        | "answer"
        | "renewLeases"
        | "drain"
        | "reboot"
        | "serve"
        | "readUsage"
        | "plan"
        | "confirm"
        | "entryStart"
        | "entryStop"
        | "leave";
    readonly when: "before" | "after";
    /** For a write of the log: the kinds of the changes or steps in its newest records. */
    readonly commands?: readonly string[];
}

const writeKinds: readonly (readonly [string, StepEvent["kind"]])[] = [
    ["samphirepin/claims", "claimWrite"],
    ["samphirepin/limits", "limitsWrite"],
    ["samphirepin/followed/entries", "membersWrite"],
    ["samphirepin/followed/log", "logWrite"],
];

/** Wraps the adapters of one entry and tells each step that passes through them. */
export function createTap(boot: string, emit: (event: StepEvent) => void) {
    async function around<T>(event: Omit<StepEvent, "boot" | "when">, call: () => Promise<T>): Promise<T> {
        emit({ boot, ...event, when: "before" });
        const result = await call();
        emit({ boot, ...event, when: "after" });
        return result;
    }

    return {
        platform: (platform: Platform): Platform => ({
            ...pickMethods(platform),
            watch: (known, waitMs) => around({ kind: "watch" }, () => platform.watch(known, waitMs)),
            compareAndSwap(key, expectedRevision, text) {
                const kind = writeKinds.find(([prefix]) => key.startsWith(prefix))?.[1];
                const call = () => platform.compareAndSwap(key, expectedRevision, text);
                const commands = kind === "logWrite" ? readNewCommands(text) : undefined;
                return kind === undefined
                    ? call()
                    : around({ kind, ...commands === undefined ? {} : { commands } }, call);
            },
        }),
        workers: (workers: Workers): Workers => ({
            ...pickMethods(workers),
            async runTask(worker, order, signal) {
                emit({ boot, kind: "send", when: "before" });
                const running = workers.runTask(worker, order, signal);
                emit({ boot, kind: "send", when: "after" });
                const result = await running;
                emit({ boot, kind: "answer", when: "after" });
                return result;
            },
            renewLeases: (...args) => around({ kind: "renewLeases" }, () => workers.renewLeases(...args)),
            readUsage: (...args) => around({ kind: "readUsage" }, () => workers.readUsage(...args)),
            sendCommand: (worker, notice) => around({ kind: notice.kind }, () => workers.sendCommand(worker, notice)),
        }),
    };
}

/** The methods of an adapter as plain functions; a proxy's own are not seen by a spread of it. */
function pickMethods<T extends object>(adapter: T): T {
    const names = Object.keys(adapter) as (keyof T)[];
    return Object.fromEntries(names.map((name) => [name, adapter[name]])) as T;
}

/** The last records only: what this write adds stands at the end of the log. */
const newestRecords = 2;

function readNewCommands(text: string): readonly string[] {
    const { records } = JSON.parse(text) as { records?: readonly CommandRecord[]; };
    return (records ?? []).slice(-newestRecords).flatMap(({ command }) => {
        switch (command.kind) {
            case "change":
                return command.changes.map(({ kind }) => kind);
            case "steps":
                return command.steps.map(({ kind }) => kind);
            default:
                return [command.kind];
        }
    });
}
