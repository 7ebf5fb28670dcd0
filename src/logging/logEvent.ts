/** What an owner goes by when it gives a run up. */
export interface DropEvidence {
    /** Whether the worker has shown what it runs to this owner. */
    readonly runList: "unread" | "read";
    /** Age of the tenure, which bounds earlier owners' leases until the list has been read. */
    readonly tenureAgeMs: number;
    /** Time since the worker last answered any call of this owner; `undefined`: it never did. */
    readonly silentMs: number | undefined;
    /** Call whose answer gave the latest reading of the worker's clock, and the age of that reading. */
    readonly clockFrom: string | undefined;
    readonly clockAgeMs: number | undefined;
    /** What was left of the longest lease, by the earliest that the worker's clock could show; not known while unread. */
    readonly leaseLeftMs: number | undefined;
}

/** Everything that parts of the daemon may log; a key or a payload is never among the fields. */
export type LogEvent =
    | { readonly kind: "started"; readonly boot: string; readonly zone: string; readonly region: string; }
    | { readonly kind: "stopping"; readonly runningTasks: number; }
    | { readonly kind: "stopped"; }
    | { readonly kind: "configurationApplied"; readonly revision: number; }
    /** Operators ask that the workers of an availability zone are sent nothing new, or take it back. */
    | { readonly kind: "evacuation"; readonly zone: string; readonly change: "begun" | "ended"; }
    /** The platform holds an older value than this entry has seen, as after a restored backup. */
    | { readonly kind: "platformWentBack"; readonly key: string; }
    /** A value or message that is malformed, of another version, or contradicts what is known; it was not applied. */
    | { readonly kind: "valueRefused"; readonly key: string; readonly detail: string; }
    /** Somebody has proved this running boot gone; it must serve no longer. */
    | { readonly kind: "removedFromRecord"; readonly boot: string; }
    /** Neither the platform nor any peer was heard for `isolatedAfterMs`; known keys and configuration serve on. */
    | { readonly kind: "isolated"; readonly silentMs: number; }
    | { readonly kind: "rejoined"; readonly silentMs: number; }
    | {
        readonly kind: "placed";
        readonly requestId: string;
        readonly attempt: string;
        readonly team: string;
        readonly pool: string;
        readonly instance: string;
        readonly reason: string;
        readonly candidates: number;
    }
    | {
        readonly kind: "routed";
        readonly requestId: string;
        readonly team: string;
        readonly toBoot: string;
        readonly reason: string;
    }
    | {
        readonly kind: "refused";
        readonly requestId: string;
        readonly team: string;
        readonly pool: string;
        readonly code: string;
        readonly reason: string;
        readonly candidates: number;
    }
    | {
        readonly kind: "ended";
        readonly requestId: string;
        readonly attempt: string;
        readonly team: string;
        readonly instance: string;
        readonly result: string;
        readonly durationMs: number;
    }
    | {
        readonly kind: "planStep";
        readonly plan: string;
        readonly step: string;
        readonly instance: string;
        readonly reason: string;
    }
    | {
        readonly kind: "instanceHealth";
        readonly instance: string;
        readonly pool: string;
        readonly step: string;
        readonly reason: string;
    }
    | {
        readonly kind: "workerHealth";
        readonly change: "ejected" | "reinstated";
        readonly instance: string;
        readonly pool: string;
        readonly reason: string;
        readonly forMs: number;
    }
    | {
        readonly kind: "reclaimed";
        readonly requestId: string;
        readonly attempt: string;
        readonly team: string;
        readonly pool: string;
        readonly instance: string;
        readonly reason: string;
    }
    /** A client's request to a queue. */
    | {
        readonly kind: "request";
        readonly requestId: string;
        readonly action: string;
        readonly submission: string;
        readonly outcome: string;
        readonly detail: string;
        readonly policyVersion: number;
        readonly policyAgeMs: number;
    }
    | {
        readonly kind: "submission";
        readonly submission: string;
        readonly change: string;
        readonly route: string;
        readonly sinceAcceptedMs: number;
    }
    | {
        readonly kind: "order";
        readonly order: "start" | "stop";
        readonly task: string;
        readonly run: number;
        readonly worker: string;
        readonly token: number;
        readonly waitedMs: number;
        readonly outcome: string;
    }
    | {
        readonly kind: "end";
        readonly task: string;
        readonly run: number;
        readonly worker: string;
        readonly how: string;
    }
    /** A run was given up as one of which nothing can run any more. */
    | (DropEvidence & {
        readonly kind: "runDropped";
        readonly task: string;
        readonly run: number;
        readonly worker: string;
        readonly cause: string;
        readonly reason: string;
    })
    /** A worker lists a run, or its end, that this owner had given up: it ran on after its task could start again. */
    | {
        readonly kind: "runReappeared";
        readonly task: string;
        readonly run: number;
        readonly worker: string;
        /** `running`, or how it ended. */
        readonly state: string;
        /** Number of the task's latest run. */
        readonly lastRun: number;
    }
    /** A worker lists a run that belongs to no task any more; it is told to stop. */
    | { readonly kind: "stray"; readonly task: string; readonly run: number; readonly worker: string; }
    | {
        readonly kind: "workerEnded";
        readonly worker: string;
        readonly pool: string;
        readonly runs: number;
        readonly reason: string;
    }
    | {
        readonly kind: "machineOrder";
        readonly order: "move" | "maintain";
        readonly machine: string;
        readonly target: string;
        readonly token: number;
        readonly outcome: string;
    }
    /** Room of a pool, once a second; processors in whole cores. */
    | {
        readonly kind: "room";
        readonly pool: string;
        readonly workers: number;
        /** Workers that run nothing, and those that run only tasks that last. */
        readonly emptyWorkers: number;
        readonly stayingWorkers: number;
        readonly cores: number;
        readonly longRunningCores: number;
        readonly shortCores: number;
        readonly waitingCores: number;
        /** What the pool needs by when a machine that is sent now has joined, beside tasks that last. */
        readonly neededCores: number;
        readonly comingCores: number;
    }
    /** The platform's list shows a machine in another state, pool or life than before. */
    | {
        readonly kind: "machine";
        readonly machine: string;
        readonly state: string;
        readonly pool: string;
        readonly worker: string;
    }
    | { readonly kind: "duty"; readonly change: "gained" | "lost"; readonly token: number; readonly reason: string; }
    | {
        readonly kind: "dependency";
        readonly name: string;
        readonly state: "lost" | "regained";
        readonly detail: string;
    }
    | { readonly kind: "note"; readonly slice: string; readonly message: string; readonly detail?: string; };
