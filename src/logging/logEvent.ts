/** Evidence on which a leader drops a run, that is, no longer counts it as running. */
export interface DropEvidence {
    /** Whether the worker has reported its run list to this leader. */
    readonly runList: "unread" | "read";
    /** Age of the tenure. Until the run list has been read, it bounds the leases granted by earlier leaders. */
    readonly tenureAgeMs: number;
    /** Time since the worker last answered any call of this leader; `undefined` if it never did. */
    readonly silentMs: number | undefined;
    /** Call whose answer gave the latest reading of the worker's clock, and the age of that reading. */
    readonly clockFrom: string | undefined;
    readonly clockAgeMs: number | undefined;
    /** Time left of the longest lease, by the earliest possible time of the worker's clock; unknown while unread. */
    readonly leaseLeftMs: number | undefined;
}

/** A watch or a list that the store did not answer on one path. */
export interface FailedReadAttempt {
    readonly call: "watch" | "range";
    readonly prefix: string;
    readonly path: "direct" | "relayed";
    /** Instance that relayed the call; empty on the direct path. */
    readonly peer: string;
    readonly tookMs: number;
    readonly detail: string;
}

/** What an entry knows of the division of a team's limit. */
export interface LimitView {
    readonly shard: number;
    /** Boot that this entry takes for the shard's allocator. */
    readonly allocator: string;
    /** Tasks that wait for the limit, run, and may run at this entry. */
    readonly waitingTasks: number;
    readonly usedTasks: number;
    readonly usableTasks: number;
    /** Ledger revision of this entry's slices, and of its allocator's copy of the ledger. */
    readonly slicesRevision: number;
    readonly ledgerRevision: number;
    /** Number of the release that the ledger is not known to include yet; 0 if there is none. */
    readonly pendingRelease: number;
    /** Time since this entry's allocator last began a round; `undefined` before the first. */
    readonly roundAgeMs: number | undefined;
    readonly isRoundRunning: boolean;
    /** Tasks in the slice of each boot, by the copy of the ledger. */
    readonly slices: Readonly<Record<string, number>>;
    /** How long each of these boots that has ended has been known to have ended. */
    readonly endedForMs: Readonly<Record<string, number>>;
}

/** Every event that the daemon logs. No field ever holds a key or a payload. */
export type LogEvent =
    | { readonly kind: "started"; readonly boot: string; readonly zone: string; readonly region: string; }
    | { readonly kind: "stopping"; readonly runningTasks: number; }
    | { readonly kind: "stopped"; }
    | {
        readonly kind: "configurationApplied";
        readonly revision: number;
        /** Age of the view when the configuration arrived; on the platform's path only. */
        readonly ageBeforeMs?: number;
    }
    /** One attempt to watch or list keys of the store has failed. Further attempts may follow on other paths. */
    | ({ readonly kind: "readAttemptFailed"; } & FailedReadAttempt)
    /** A watch that was overdue or had failed was repeated over a new connection and through peers, with this result. */
    | { readonly kind: "watchRepeated"; readonly prefix: string; readonly outcome: string; }
    /**
     * A call has had no answer for `overdueMs`, while a later one over a new connection took `laterCallMs`: the open
     * connections are replaced, as others of them may be silent too.
     */
    | {
        readonly kind: "connectionsRenewed";
        readonly target: "store" | "machines";
        readonly overdueMs: number;
        readonly laterCallMs: number;
    }
    /** Operators begin or end an evacuation: meanwhile the workers of the availability zone are sent nothing new. */
    | { readonly kind: "evacuation"; readonly zone: string; readonly change: "begun" | "ended"; }
    /** The platform returned an older value than this entry has seen before, as after a restore from a backup. */
    | { readonly kind: "platformWentBack"; readonly key: string; }
    /** A value or message was not applied: it is malformed, of another version, or contradicts what is known. */
    | { readonly kind: "valueRefused"; readonly key: string; readonly detail: string; }
    /** Another party proved that this boot has ended although it still runs; it must stop serving. */
    | { readonly kind: "removedFromRecord"; readonly boot: string; }
    /** Neither the platform nor a peer was heard for `isolatedAfterMs`; known keys and configuration stay in use. */
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
    /** Tasks of a team still wait for its limit; what this entry knows of the limit's division. */
    | ({ readonly kind: "limitWait"; readonly team: string; readonly waitedMs: number; } & LimitView)
    /** The slices of an ended boot were reclaimed: its task leases have expired. */
    | { readonly kind: "limitReclaimed"; readonly shard: number; readonly endedBoot: string; }
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
        /** Of a submission that is taken: whether its client account was within its rate. */
        readonly class?: "conforming" | "excess";
        /** Declared work of a submission that is taken or ends, in core-milliseconds; not of long-running or repeated ones. */
        readonly workCoreMs?: number | undefined;
        /** Of a submission that is complete and has a size. */
        readonly timeliness?: "inTime" | "late" | "tooLate" | undefined;
        /** Of one that ends: its size class, and whether it was promoted because that class had been served too little. */
        readonly size?: "smaller" | "large" | "largest" | undefined;
        readonly isPromoted?: boolean;
        /** Of one that ends, from its acceptance to its first start. */
        readonly firstStartMs?: number | undefined;
        /** Of one that ends, from its first start to its last one. */
        readonly startSpanMs?: number | undefined;
        /** Of one that ends: tasks that were started again, except speculatively. */
        readonly restarts?: number;
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
    /** A run of a task failed by the task's own fault, which counts as one of its attempts. */
    | {
        readonly kind: "attemptFailed";
        readonly task: string;
        readonly run: number;
        /** Failed attempts of the task so far, this one included. */
        readonly failedAttempts: number;
        /** `undefined` while it is not known: the task is neither failed nor started again. */
        readonly maxAttempts: number | undefined;
    }
    /** The leader dropped a run because nothing of it can still be running. */
    | (DropEvidence & {
        readonly kind: "runDropped";
        readonly task: string;
        readonly run: number;
        readonly worker: string;
        readonly cause: string;
        readonly reason: string;
    })
    /** A worker lists a dropped run, or its end: the run continued after the leader could start its task again. */
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
    /** Tasks of a step wait for something other than free capacity. */
    | {
        readonly kind: "unplaceable";
        readonly submission: string;
        readonly step: number;
        readonly pool: string;
        /** The demand that no worker of the pool meets, or `progressRecord`: the submission's record is full. */
        readonly obstacle: "noHost" | "label" | "size" | "gangSize" | "progressRecord";
        readonly workers: number;
        readonly waitedMs: number;
    }
    /** The advice service was asked which of some workers may run a step. */
    | {
        readonly kind: "advice";
        readonly step: string;
        readonly outcome: "permits" | "busy" | "noAnswer";
        /** Workers that could run the step, apart from permits. */
        readonly candidates: number;
        /** Workers that the request named. */
        readonly asked: number;
        readonly permitted: number;
        readonly tookMs: number;
    }
    /** A worker lists a run that no longer belongs to a task; the leader tells the worker to stop it. */
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
    /** Capacity of a pool and its use, logged once a second; processors in whole cores. */
    | {
        readonly kind: "room";
        readonly pool: string;
        readonly workers: number;
        /** Workers that run nothing, and workers that run only long-running tasks. */
        readonly emptyWorkers: number;
        readonly stayingWorkers: number;
        readonly cores: number;
        readonly longRunningCores: number;
        readonly shortCores: number;
        readonly waitingCores: number;
        /** Cores needed, besides those of long-running tasks, by the time a machine ordered now has joined the pool. */
        readonly neededCores: number;
        readonly comingCores: number;
    }
    /** What a pool is entitled to, logged once a second while the pools need more than all machines; in whole cores. */
    | {
        readonly kind: "entitlement";
        readonly pool: string;
        readonly neededCores: number;
        readonly conformingCores: number;
        readonly entitledCores: number;
        /** Cores that accept work, without those of long-running tasks. */
        readonly cores: number;
        readonly comingCores: number;
        /** Machines of the pool that run empty for another pool. */
        readonly reclaimed: number;
        /** Age of the platform's list of machines, in milliseconds. */
        readonly listAgeMs: number;
    }
    /** The platform lists a machine with another state, pool or incarnation than before. */
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
    /** The number of progress commits that may be in flight has changed, by the answer times of the store. */
    | {
        readonly kind: "commitLimit";
        readonly commits: number;
        readonly answerMs: number;
        /** Submissions whose progress waits to be written. */
        readonly waiting: number;
    }
    /** Submissions of a client account in a period with excess ones, and its tokens at the end of the period. */
    | {
        readonly kind: "accountRate";
        readonly account: string;
        readonly accepted: number;
        readonly excess: number;
        readonly tokens: number;
        readonly weightPerSecond: number;
        readonly policyVersion: number;
        readonly periodMs: number;
        /** Age of the latest submission that is counted, since its acceptance. */
        readonly latestAgeMs: number;
    }
    /** Wait of new excess submissions in a pool, logged by the leader once a second while there is any, and at its end. */
    | {
        readonly kind: "load";
        readonly pool: string;
        readonly excessWaitMs: number;
        /** Remaining work that ranks before a new excess submission. */
        readonly workCoreSeconds: number;
        readonly waitingCores: number;
        /** Processors that the pool has, has on the way, or could get. */
        readonly cores: number;
        readonly freeCores: number;
        /** Age of the measured capacities. */
        readonly ageMs: number;
    }
    /** A submission was not refused for load although its account is beyond its rate: the refusal might be untrue. */
    | {
        readonly kind: "refusalSkipped";
        readonly submission: string;
        readonly reason: string;
        readonly tokens: number;
        readonly excessWaitMs: number;
        readonly slackMs: number;
        readonly summaryAgeMs: number;
    }
    /** A new leader has read what earlier leaders recorded, the submissions and the worker registrations. */
    | {
        readonly kind: "stateLoaded";
        readonly token: number;
        readonly source: "copy" | "store";
        /** Items of each prefix. */
        readonly progress: number;
        readonly submissions: number;
        readonly workers: number;
        /** Age of the copy when the tenure began; `undefined` if there was no complete copy. */
        readonly copyAgeMs: number | undefined;
        /** Time since the tenure began. */
        readonly tookMs: number;
    }
    /** A new leader sends its first start request. */
    | {
        readonly kind: "firstStart";
        readonly token: number;
        /** Submissions with a task to start, when all had been read. */
        readonly waitingSubmissions: number;
        readonly sinceGainedMs: number;
    }
    /** A standby has missed the leader's heartbeats and has asked the other standbys about them. */
    | {
        readonly kind: "leaderSilence";
        /** Boot and fencing token of the leader. */
        readonly leader: string;
        readonly token: number;
        /** Time since this standby received a heartbeat; `undefined` if it has been suspended since the last one. */
        readonly silentMs: number | undefined;
        /** Position of this standby in the list, 0 for the designated one. */
        readonly position: number;
        readonly asked: number;
        /** The silence that each standby answered, in milliseconds, as `instance/zone=silence`; `never` for no heartbeat. */
        readonly answers: string;
        /** Time since the question was sent. */
        readonly answersAgeMs: number;
        readonly silentStandbys: number;
        readonly silentZones: number;
        readonly decision: "lost" | "heard" | "tooFew";
    }
    /** A listener has closed connections or refused requests because of a limit on clients; one line a second for each limit. */
    | { readonly kind: "clientLimit"; readonly listener: string; readonly limit: string; readonly count: number; }
    | { readonly kind: "note"; readonly slice: string; readonly message: string; readonly detail?: string; };
