import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { LogEvent } from "../logging";

/** Values read when the metrics are collected. */
export interface MetricReadings {
    /** Age of the configuration in force, in milliseconds. */
    policyAgeMs(): number | undefined;
    /** Number of availability zones under evacuation. */
    evacuatedZones(): number;
    /** Fencing token of the tenure while this entry is the leader. */
    dutyToken(): number | undefined;
    droppedLines(): number;
    openRequests(): number;
}

export interface EventMetrics {
    /** Updates the metrics that belong to the event. */
    count(event: LogEvent): void;
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
        "Client requests other than plain reads, by outcome",
        "action",
        "outcome",
    );
    const orders = counter("orders", "Start and stop requests sent to workers, by outcome", "order", "outcome");
    const ends = counter("ends", "Ends of runs listed by workers", "how");
    const dropped = counter("runs_dropped", "Runs dropped without an end listed by their worker, by cause", "cause");
    const reappeared = counter("runs_reappeared", "Dropped runs that their worker listed later, by state", "state");
    const submissions = counter("submissions", "Submissions accepted and ended by this leader", "change");
    const machineOrders = counter("machine_orders", "Machine moves and maintenance, by outcome", "order", "outcome");
    const duties = counter("duty_changes", "Changes of leadership of the scheduler", "change");
    const dependencies = counter("dependency_changes", "Losses and recoveries of stores and workers", "state");
    const startWait = new Histogram({
        name: "samphirepin_start_wait_seconds",
        help: "Time from the decision to start a task to the worker's answer",
        buckets: waitBucketsSeconds,
        registers,
    });
    const submissionTime = new Histogram({
        name: "samphirepin_submission_seconds",
        help: "Time from the acceptance of a submission to its end",
        labelNames: ["change"],
        buckets: submissionBucketsSeconds,
        registers,
    });
    const poolCores = new Gauge({
        name: "samphirepin_pool_cores",
        help: "Processors of a pool in cores: of its workers, in use, demanded by waiting tasks, joining",
        labelNames: ["pool", "part"],
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
        "Age of the configuration; -1 before the first one",
        () => (readings.policyAgeMs() ?? -1000) / 1000,
    );
    gauge("evacuated_zones", "Availability zones whose workers are sent nothing new", readings.evacuatedZones);
    gauge(
        "duty_token",
        "Fencing token of the leader; 0 if this entry is not the leader",
        () => readings.dutyToken() ?? 0,
    );
    gauge("log_lines_dropped", "Log lines dropped since the start", readings.droppedLines);
    gauge("open_requests", "Client requests in progress", readings.openRequests);

    return {
        count(event) {
            switch (event.kind) {
                case "request":
                    requests.inc({ action: event.action, outcome: event.outcome });
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
                case "runReappeared":
                    reappeared.inc({ state: event.state });
                    return;
                case "submission":
                    submissions.inc({ change: event.change });
                    if (event.change !== "taken") {
                        submissionTime.observe({ change: event.change }, event.sinceAcceptedMs / 1000);
                    }
                    return;
                case "machineOrder":
                    machineOrders.inc({ order: event.order, outcome: event.outcome });
                    return;
                case "duty":
                    duties.inc({ change: event.change });
                    return;
                case "dependency":
                    dependencies.inc({ state: event.state });
                    return;
                case "room":
                    poolCores.set({ pool: event.pool, part: "all" }, event.cores);
                    poolCores.set({ pool: event.pool, part: "longRunning" }, event.longRunningCores);
                    poolCores.set({ pool: event.pool, part: "short" }, event.shortCores);
                    poolCores.set({ pool: event.pool, part: "waiting" }, event.waitingCores);
                    poolCores.set({ pool: event.pool, part: "coming" }, event.comingCores);
                    return;
                default:
            }
        },
        text: () => registry.metrics(),
    };
}
