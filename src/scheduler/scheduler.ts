import type { LoadMeasurement } from "../admission";
import type { AdviceClient } from "../advice";
import type { Clocks } from "../clock";
import type { Tenure } from "../duties";
import type { AccountRates } from "../fairness";
import type { Reporter } from "../logging";
import type { MachineApi } from "../machines";
import type { Policy, Wave } from "../policy";
import type { WorkerApi } from "../runs";
import type { Store, StoreItem } from "../store";
import type { SubmissionState } from "../submissions";
import type { StateCopy } from "./createStandbyCopy";
import type { WorkerDecoder } from "./workerRegistration";

/** Limits and durations of the platform that the scheduler's decisions depend on. */
export interface SchedulerBounds {
    /** Longest lease that a worker grants, in milliseconds. */
    readonly maxLeaseMs: number;
    /** How long finished submissions can be queried, in milliseconds. */
    readonly keepFinishedMs: number;
    /** Minimum time between orders of two different leaders for one machine, in milliseconds. */
    readonly minMachineHandoverMs: number;
    /** How long the maintenance of a machine takes, in milliseconds. */
    readonly maintenanceMs: number;
    /** How long a machine takes to change its pool, in milliseconds. */
    readonly moveMs: number;
    /** Machine orders that the platform accepts per second, over all entries. */
    readonly machineOrdersPerSecond: number;
    /** Longest time that a worker takes to stop a task, in milliseconds. */
    readonly maxStopMs: number;
    /** Longest value that the store takes, in bytes. */
    readonly maxValueBytes: number;
}

export interface SchedulerOptions {
    readonly store: Store;
    readonly workerApi: WorkerApi;
    readonly machines: MachineApi;
    readonly advice: AdviceClient;
    readonly decoder: WorkerDecoder;
    readonly tenure: Tenure;
    /** Copy of the recorded state that this entry kept before the tenure; `undefined` for none. */
    readonly copy?: StateCopy | undefined;
    readonly holder: string;
    readonly clocks: Clocks;
    readonly report: Reporter;
    readonly bounds: SchedulerBounds;
    readonly policy: () => Policy | undefined;
    readonly waves: () => readonly Wave[];
    readonly evacuatedZones: () => ReadonlySet<string>;
    /**
     * Whether the operators' policy is recent enough to start tasks. If it is stale, a newer evacuation may be unknown.
     */
    readonly isPolicyFresh: () => boolean;
    /** Writes the state of a wave for the operators. Resolves to `false` if it is not in the store. */
    readonly reportWave: (wave: number, isComplete: boolean) => Promise<boolean>;
    /** Called when a request was refused because of a lower fencing token, or when the leader key has another holder. */
    onFenced(): void;
}

/** The work of the scheduling leader during one tenure. */
export interface Scheduler {
    /** Loads the recorded state, then starts to decide. */
    start(): Promise<void>;
    /** Stops all decisions and requests. Running tasks continue under their leases. */
    stop(): void;
    /** Returns `undefined` for an unknown submission, and for all until the state of earlier leaders has been read. */
    findState(id: string): SubmissionState | undefined;
    /** Returns `undefined` until the state of earlier leaders has been read. */
    countPending(route: string): number | undefined;
    /** Applies the zones under evacuation and plans again. */
    policyChanged(): void;
    /** Applies a submission's record that another entry has just stored, ahead of the watch. */
    applyRecord(item: StoreItem): void;
    /** Tokens of a client account; see `AccountRates`. */
    readonly rates: Pick<AccountRates, "tokens">;
    startsInFlight(): ReadonlyMap<string, number>;
    /** Measures what new excess submissions would wait for; `undefined` while that is not known. */
    measureLoad(): LoadMeasurement | undefined;
}
