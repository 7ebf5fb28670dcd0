import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

const durationBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 60];

/** Creates the metrics of one daemon in a registry of its own. */
export function createMetrics() {
    const registry = new Registry();
    const registers = [registry];
    collectDefaultMetrics({ register: registry, prefix: "samphirepin_" });
    return {
        registry,
        tasks: new Counter({
            name: "samphirepin_tasks_total",
            help: "Tasks that ended, by outcome and problem code",
            labelNames: ["outcome", "code"] as const,
            registers,
        }),
        taskDuration: new Histogram({
            name: "samphirepin_task_duration_seconds",
            help: "From a task's arrival to its end",
            buckets: durationBucketsSeconds,
            registers,
        }),
        runningTasks: new Gauge({
            name: "samphirepin_running_tasks",
            help: "Tasks taken and not ended",
            registers,
        }),
        waitingTasks: new Gauge({
            name: "samphirepin_waiting_tasks",
            help: "Tasks that wait for a worker at this entry",
            registers,
        }),
        lingeringTasks: new Gauge({
            name: "samphirepin_lingering_tasks",
            help: "Tries whose end is not known and whose room in the limit is still kept",
            registers,
        }),
        orphanedTasks: new Gauge({
            name: "samphirepin_orphaned_tasks",
            help: "Tasks at a worker whose holder is not connected, as last read; they end by their lease",
            labelNames: ["instance"] as const,
            registers,
        }),
        workerEjections: new Counter({
            name: "samphirepin_worker_ejections_total",
            help: "Workers set aside by this entry because they failed or lagged behind their pool",
            labelNames: ["instance", "pool"] as const,
            registers,
        }),
        configurationRevision: new Gauge({
            name: "samphirepin_configuration_revision",
            help: "Revision of the configuration in force here",
            registers,
        }),
        connectedPeers: new Gauge({
            name: "samphirepin_connected_peers",
            help: "Entries heard from lately",
            registers,
        }),
        peerSentBytes: new Gauge({
            name: "samphirepin_peer_sent_bytes",
            help: "Bytes of frames sent to other entries since the start",
            registers,
        }),
        peerReceivedBytes: new Gauge({
            name: "samphirepin_peer_received_bytes",
            help: "Bytes of frames received from other entries since the start",
            registers,
        }),
        isolated: new Gauge({
            name: "samphirepin_isolated",
            help: "1 where neither the platform nor a peer was heard for the time set",
            registers,
        }),
        limitWrites: new Counter({
            name: "samphirepin_limit_writes_total",
            help: "Writes of the division of limits, by result",
            labelNames: ["result"] as const,
            registers,
        }),
        limitWaitSeconds: new Gauge({
            name: "samphirepin_limit_wait_longest_seconds",
            help: "How long tasks of the team that has waited longest for its limit have waited, here or at a holder",
            registers,
        }),
        forwardedTasks: new Counter({
            name: "samphirepin_forwarded_tasks_total",
            help: "Tasks passed on to an entry with room in the team's limit, by result",
            labelNames: ["result"] as const,
            registers,
        }),
        clientLimits: new Counter({
            name: "samphirepin_client_limits_total",
            help: "Connections closed and requests refused by a limit on clients, by listener",
            labelNames: ["listener", "limit"] as const,
            registers,
        }),
        connections: new Gauge({
            name: "samphirepin_connections",
            help: "Open connections, by listener",
            labelNames: ["listener"] as const,
            registers,
        }),
        heldBytes: new Gauge({
            name: "samphirepin_held_bytes",
            help: "Estimated memory held for clients and peers, by which connections are closed",
            registers,
        }),
        platformCalls: new Counter({
            name: "samphirepin_platform_calls_total",
            help: "Calls to the platform's service, by kind and result",
            labelNames: ["call", "result"] as const,
            registers,
        }),
    };
}

export type Metrics = ReturnType<typeof createMetrics>;
