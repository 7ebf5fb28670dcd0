import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { LogEvent } from "../logging";

/** Values read when the metrics are collected. */
export interface MetricReadings {
    /** Age of the configuration in force, in milliseconds. */
    policyAgeMs(): number | undefined;
    /** Greatest age that the configuration has reached, in milliseconds. */
    longestPolicyAgeMs(): number;
    /** Number of availability zones under evacuation. */
    evacuatedZones(): number;
    /** Fencing token of the tenure while this entry is the leader. */
    dutyToken(): number | undefined;
    droppedLines(): number;
    openRequests(): number;
    /** Estimated memory that is held for clients, in bytes. */
    heldBytes(): number;
    /** Open connections by listener. */
    connections(): ReadonlyMap<string, number>;
    /** Starts in flight by pool; empty while this entry isn't the leader. */
    startsInFlight(): ReadonlyMap<string, number>;
    /** Age of the leader's latest load summary, in milliseconds; `undefined` before the first. */
    loadSummaryAgeMs(): number | undefined;
    /** Longest silence of a leader that this entry has observed as a standby, in milliseconds. */
    longestLeaderSilenceMs(): number;
}

export interface EventMetrics {
    /** Updates the metrics that belong to the event. */
    record(event: LogEvent): void;
    text(): Promise<string>;
}

const waitBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16];
const submissionBucketsSeconds = [0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 10, 20, 60];

/** Creates the metrics of a daemon on the users' platform; they are updated from the same events as its log lines. */
export function createEventMetrics(readings: MetricReadings): EventMetrics {
    const registry = new Registry();
    const registers = [registry];
    const counter = (name: string, help: string, ...labelNames: string[]) =>
        new Counter({ name: `samphirepin_${name}_total`, help, labelNames, registers });
    collectDefaultMetrics({ register: registry, prefix: "samphirepin_" });
    const requests = counter(
        "requests",
        "Clients' requests that were not plain reads, by outcome",
        "action",
        "outcome",
    );
    const orders = counter("orders", "Starts and stops sent to workers, by outcome", "order", "outcome");
    const ends = counter("ends", "Ends that workers have listed", "how");
    const dropped = counter("runs_dropped", "Runs given up without an end listed by their worker, by cause", "cause");
    const reappeared = counter("runs_reappeared", "Runs given up that their worker listed later, by state", "state");
    const failedAttempts = counter(
        "failed_attempts",
        "Runs that failed and count as attempts of their task, by whether the limit is known",
        "limit",
    );
    const unplaceable = counter(
        "unplaceable",
        "Checks that found tasks which wait for something other than free capacity, by obstacle",
        "obstacle",
    );
    const adviceRequests = counter("advice_requests", "Requests to the advice service, by outcome", "outcome");
    const submissions = counter("submissions", "Submissions taken and ended by this owner", "change");
    const machineOrders = counter("machine_orders", "Moves and upkeeps, by outcome", "order", "outcome");
    const duties = counter("duty_changes", "Changes of the scheduling duty", "change");
    const dependencies = counter("dependency_changes", "Stores and workers lost and regained", "state");
    const failedReads = counter("read_attempts_failed", "Watches and lists not answered, by path", "path");
    const repeatedWatches = counter("watches_repeated", "Overdue or failed watches repeated, by outcome", "outcome");
    const renewedConnections = counter(
        "connections_renewed",
        "Times that the open connections were replaced because some are silent, by target",
        "target",
    );
    const startWait = new Histogram({
        name: "samphirepin_start_wait_seconds",
        help: "From the decision to start a task to the worker's answer",
        buckets: waitBucketsSeconds,
        registers,
    });
    const submissionSizes = counter(
        "submissions_by_size",
        "Complete submissions by queue, size class and timeliness",
        "queue",
        "size",
        "timeliness",
    );
    const submissionTime = new Histogram({
        name: "samphirepin_submission_seconds",
        help: "From accepting a submission to its end",
        labelNames: ["change"],
        buckets: submissionBucketsSeconds,
        registers,
    });
    const firstStartTime = new Histogram({
        name: "samphirepin_first_start_seconds",
        help: "From gaining leadership to the first start request, where submissions waited",
        buckets: waitBucketsSeconds,
        registers,
    });
    const poolCores = new Gauge({
        name: "samphirepin_pool_cores",
        help: "Processors of a pool: of its workers, in use, waited for, on their way",
        labelNames: ["pool", "part"],
        registers,
    });
    const commitLimit = new Gauge({
        name: "samphirepin_commit_limit",
        help: "Progress commits that may be in flight",
        registers,
    });
    const storeAnswer = new Gauge({
        name: "samphirepin_store_answer_seconds",
        help: "Mean answer time of the store to progress commits, when the limit last changed",
        registers,
    });
    const poolEntitlement = new Gauge({
        name: "samphirepin_pool_entitlement_cores",
        help: "Processors to which a pool is entitled while the pools need more than all machines have",
        labelNames: ["pool"],
        registers,
    });
    const gauge = (name: string, help: string, read: () => number) =>
        new Gauge({
            name: `samphirepin_${name}`,
            help,
            registers,
            collect() {
                this.set(read());
            },
        });
    gauge(
        "policy_age_seconds",
        "Age of the configuration; -1 before the first",
        () => (readings.policyAgeMs() ?? -1000) / 1000,
    );
    gauge(
        "policy_age_longest_seconds",
        "Greatest age that the configuration has reached since the start",
        () => readings.longestPolicyAgeMs() / 1000,
    );
    gauge("evacuated_zones", "Availability zones whose workers are sent nothing new", readings.evacuatedZones);
    gauge(
        "duty_token",
        "Token of the duty held; 0 for none",
        () => readings.dutyToken() ?? 0,
    );
    gauge("log_lines_dropped", "Log lines left out since the start", readings.droppedLines);
    gauge("open_requests", "Clients' requests under way", readings.openRequests);
    gauge(
        "held_bytes",
        "Estimated memory held for clients and peers, by which connections are closed",
        readings.heldBytes,
    );
    new Gauge({
        name: "samphirepin_connections",
        help: "Open connections, by listener",
        labelNames: ["listener"],
        registers,
        collect() {
            readings.connections().forEach((count, listener) => this.set({ listener }, count));
        },
    });
    const clientLimits = counter(
        "client_limits",
        "Connections closed and requests refused by a limit on clients, by listener",
        "listener",
        "limit",
    );
    const submissionClasses = counter(
        "submission_classes",
        "Submissions taken by this leader, within and beyond the rate of their client account",
        "class",
    );
    new Gauge({
        name: "samphirepin_starts_in_flight",
        help: "Starts that are being recorded or sent, by pool",
        labelNames: ["pool"],
        registers,
        collect() {
            this.reset();
            readings.startsInFlight().forEach((count, pool) => this.set({ pool }, count));
        },
    });

    const refusals = counter("refusals", "Submissions that were not accepted, by reason", "reason");
    const skippedRefusals = counter("skipped_refusals", "Submissions not refused for load, by reason", "reason");
    const excessWait = new Gauge({
        name: "samphirepin_excess_wait_seconds",
        help: "Wait of a new submission of an account beyond its rate, as this leader measured it last",
        labelNames: ["pool"],
        registers,
    });
    gauge(
        "load_summary_age_seconds",
        "Age of the leader's load summary; -1 before the first",
        () => (readings.loadSummaryAgeMs() ?? -1000) / 1000,
    );
    const takeovers = counter("takeovers", "Times that this entry has become leader, by cause", "cause");
    gauge(
        "leader_silence_longest_seconds",
        "Longest silence of a leader that this entry has observed as a standby",
        () => readings.longestLeaderSilenceMs() / 1000,
    );

    return {
        record(event) {
            switch (event.kind) {
                case "request":
                    requests.inc({ action: event.action, outcome: event.outcome });
                    if (event.action === "accept" && event.outcome !== "accepted") {
                        refusals.inc({ reason: event.outcome });
                    }
                    return;
                case "order":
                    orders.inc({ order: event.order, outcome: event.outcome.split(":", 1)[0] ?? "" });
                    if (event.order === "start") {
                        startWait.observe(event.waitedMs / 1000);
                    }
                    return;
                case "end":
                    ends.inc({ how: event.how });
                    return;
                case "runDropped":
                    dropped.inc({ cause: event.cause });
                    return;
                case "attemptFailed":
                    failedAttempts.inc({ limit: event.maxAttempts === undefined ? "unknown" : "known" });
                    return;
                case "runReappeared":
                    reappeared.inc({ state: event.state });
                    return;
                case "unplaceable":
                    unplaceable.inc({ obstacle: event.obstacle });
                    return;
                case "advice":
                    adviceRequests.inc({ outcome: event.outcome });
                    return;
                case "submission":
                    submissions.inc({ change: event.change });
                    if (event.class !== undefined) {
                        submissionClasses.inc({ class: event.class });
                    }
                    if (event.size !== undefined && event.timeliness !== undefined) {
                        submissionSizes.inc({ queue: event.route, size: event.size, timeliness: event.timeliness });
                    }
                    if (event.change !== "taken" && event.change !== "stillStopping") {
                        submissionTime.observe({ change: event.change }, event.sinceAcceptedMs / 1000);
                    }
                    return;
                case "machineOrder":
                    machineOrders.inc({ order: event.order, outcome: event.outcome });
                    return;
                case "duty":
                    duties.inc({ change: event.change });
                    if (event.change === "gained") {
                        takeovers.inc({ cause: event.reason });
                    }
                    return;
                case "dependency":
                    dependencies.inc({ state: event.state });
                    return;
                case "readAttemptFailed":
                    failedReads.inc({ path: event.path });
                    return;
                case "connectionsRenewed":
                    renewedConnections.inc({ target: event.target });
                    return;
                case "watchRepeated":
                    repeatedWatches.inc({ outcome: event.outcome });
                    return;
                case "entitlement":
                    poolEntitlement.set({ pool: event.pool }, event.entitledCores);
                    return;
                case "room":
                    // While the pools compete, the pool's entitlement is logged right after this event.
                    poolEntitlement.remove({ pool: event.pool });
                    poolCores.set({ pool: event.pool, part: "all" }, event.cores);
                    poolCores.set({ pool: event.pool, part: "longRunning" }, event.longRunningCores);
                    poolCores.set({ pool: event.pool, part: "short" }, event.shortCores);
                    poolCores.set({ pool: event.pool, part: "waiting" }, event.waitingCores);
                    poolCores.set({ pool: event.pool, part: "coming" }, event.comingCores);
                    return;
                case "commitLimit":
                    commitLimit.set(event.commits);
                    storeAnswer.set(event.answerMs / 1000);
                    return;
                case "load":
                    excessWait.set({ pool: event.pool }, event.excessWaitMs / 1000);
                    return;
                case "refusalSkipped":
                    skippedRefusals.inc({ reason: event.reason });
                    return;
                case "clientLimit":
                    clientLimits.inc({ listener: event.listener, limit: event.limit }, event.count);
                    return;
                case "firstStart":
                    // Without a backlog, the time depends on the next submission.
                    if (event.waitingSubmissions > 0) {
                        firstStartTime.observe(event.sinceGainedMs / 1000);
                    }
                    return;
                default:
            }
        },
        text: () => registry.metrics(),
    };
}
