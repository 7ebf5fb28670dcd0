import type { StepEvent } from "./createTap";

/** What operators and the platform do while callers send work. */
export type Activity =
    | "none"
    | "configure"
    | "withdrawKey"
    | "move"
    | "wave"
    | "startEntry"
    | "stopEntry"
    | "leaveWorker";

/** One step of the matrix: the fault strikes when an entry reaches it. */
export interface Row {
    readonly name: string;
    readonly activity: Activity;
    /** True where an entry comes to the step once in a run. */
    readonly isSingle: boolean;
    isReached(event: StepEvent): boolean;
}

const singleActivities: readonly Activity[] = ["configure", "withdrawKey", "startEntry", "stopEntry", "leaveWorker"];
const singleKinds: readonly StepEvent["kind"][] = ["plan", "confirm"];

function row(
    name: string,
    kind: StepEvent["kind"],
    opts: { when?: StepEvent["when"]; activity?: Activity; command?: string; } = {},
): Row {
    return {
        name,
        activity: opts.activity ?? "none",
        isSingle: singleActivities.includes(opts.activity ?? "none") || singleKinds.includes(kind)
            || opts.command === "confirmPlan",
        isReached: (event) =>
            event.kind === kind
            && event.when === (opts.when ?? "before")
            && (opts.command === undefined || (event.commands ?? []).includes(opts.command)),
    };
}

/** Every step of the matrix, one row each. */
export const rows: readonly Row[] = [
    row("taking a request", "taskTaken", { when: "after" }),
    row("claiming, before the write", "claimWrite"),
    row("claiming, after the write", "claimWrite", { when: "after" }),
    row("placing", "send"),
    row("sending", "send", { when: "after" }),
    row("answering", "answer", { when: "after" }),
    row("retrying and renewing a lease", "renewLeases"),
    row("cancelling", "taskCancelled"),
    row("dividing limits, before the write", "limitsWrite"),
    row("dividing limits, after the write", "limitsWrite", { when: "after" }),
    row("entering the record of entries", "membersWrite", { activity: "startEntry" }),
    row("spreading configuration, before the write", "logWrite", { activity: "configure", command: "setTeam" }),
    row("spreading configuration, after the write", "logWrite", {
        activity: "configure",
        command: "setTeam",
        when: "after",
    }),
    row("applying configuration", "watch", { activity: "configure", when: "after" }),
    row("withdrawing a key, before the write", "logWrite", { activity: "withdrawKey", command: "withdrawKey" }),
    row("withdrawing a key, after the write", "logWrite", {
        activity: "withdrawKey",
        command: "withdrawKey",
        when: "after",
    }),
    row("planning", "plan", { activity: "move" }),
    row("confirming, before the write", "logWrite", { activity: "move", command: "confirmPlan" }),
    row("confirming, after the write", "logWrite", { activity: "move", command: "confirmPlan", when: "after" }),
    row("move: beginning a drain", "logWrite", { activity: "move", command: "beginDrain" }),
    row("move: telling the worker to drain", "drain", { activity: "move" }),
    row("move: finishing a drain", "logWrite", { activity: "move", command: "finishDrain" }),
    row("move: changing the pool, before the write", "logWrite", { activity: "move", command: "beginProving" }),
    row("move: changing the pool, after the write", "logWrite", {
        activity: "move",
        command: "beginProving",
        when: "after",
    }),
    row("move: telling the worker to serve", "serve", { activity: "move" }),
    row("move: back in service", "logWrite", { activity: "move", command: "serve" }),
    row("wave: beginning a drain", "logWrite", { activity: "wave", command: "beginDrain" }),
    row("wave: telling the worker to drain", "drain", { activity: "wave" }),
    row("wave: finishing a drain", "logWrite", { activity: "wave", command: "finishDrain" }),
    row("wave: beginning a reboot", "logWrite", { activity: "wave", command: "beginReboot" }),
    row("wave: telling the worker to reboot", "reboot", { activity: "wave" }),
    row("wave: after the reboot", "reboot", { activity: "wave", when: "after" }),
    row("wave: proving", "logWrite", { activity: "wave", command: "beginProving" }),
    row("wave: back in service", "logWrite", { activity: "wave", command: "serve" }),
    row("starting an entry", "entryStart", { activity: "startEntry", when: "after" }),
    row("a worker begins to leave", "leave", { activity: "leaveWorker" }),
    row("stopping an entry", "entryStop", { activity: "stopEntry" }),
];
