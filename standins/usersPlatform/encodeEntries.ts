import type { Policy } from "../../src/policy";
import type { WorkerRegistration } from "../../src/scheduler";
import type { Step } from "../../src/submissions";

interface KeyAndText {
    readonly key: string;
    readonly text: string;
}

/** What a worker writes of itself to the store. */
export function encodeWorkerEntry(entry: WorkerRegistration): KeyAndText {
    const { cpuMillis, memoryMb, accelerators } = entry.capacity;
    const row = {
        service: entry.pool,
        address: entry.address,
        zone: entry.zone,
        state: entry.isDraining ? "draining" : "ready",
        remainingMs: entry.drainLeftMs,
        born: entry.bornMs,
        capacity: { cpu: cpuMillis, memMb: memoryMb, gpu: accelerators },
        labels: entry.labels,
    };
    return { key: `servers/${entry.id}`, text: JSON.stringify(row) };
}

/** What operators write to the store. */
export function encodePolicy(policy: Policy): KeyAndText {
    const row = {
        version: policy.version,
        routes: policy.queues.map((route) => ({
            name: route.name,
            host: route.host,
            prefix: route.pathPrefix,
            service: route.service,
            public: route.isPublic,
            priority: route.priority,
            maxAttempts: route.maxAttempts,
            stretch: route.stretch,
            targetLatencyMs: route.targetLatencyMs,
            timeoutMs: route.timeoutMs,
        })),
        services: [...policy.pools.values()].map(({ name, rejectsOverload, isStandby }) => ({
            name,
            rejectsOverload,
            standby: isStandby,
        })),
        tenants: policy.tenants.map(({ name, keys, weight, cap }) => ({
            name,
            apiKeys: keys,
            weight,
            cap: { cpu: cap.cpuMillis, memMb: cap.memoryMb, gpu: cap.accelerators },
        })),
        limits: policy.limits,
    };
    return { key: "op/config", text: JSON.stringify(row) };
}

export function encodeWave(
    wave: number,
    machines: readonly string[],
    completeByS: number,
    maxDown: number,
): KeyAndText {
    return { key: `op/wave/${wave}`, text: JSON.stringify({ wave, machines, completeByS, cap: maxDown }) };
}

/** What a client hands in. */
export function encodeSubmission(payload: string, steps: readonly Partial<Step>[]): unknown {
    return {
        spec: payload,
        steps: steps.map((step) => ({
            count: step.count ?? 1,
            cpu: step.size?.cpuMillis ?? 0,
            memMb: step.size?.memoryMb ?? 0,
            estimateMs: step.estimateMs ?? 0,
            longRunning: step.isLongRunning ?? false,
            mayMiss: step.maxUnavailable ?? 0,
            maxPerServer: step.maxPerWorker ?? 0,
        })),
    };
}

export interface NodeSettingsInput {
    readonly name: string;
    readonly zone: string;
    readonly host: string;
    /** First of ten ports. */
    readonly port: number;
    readonly storeAddress: string;
    readonly machinesAddress: string;
    /** What the platform gives after SIGTERM, in seconds. */
    readonly graceS: number;
    /** How long a key that was taken away may still be taken, in milliseconds. */
    readonly revokeMs: number;
    /** How long after its confirmation a configuration has to be in force, in milliseconds. */
    readonly configApplyMs: number;
}

/** The settings file that the platform writes for a process. */
export function encodeNodeSettings(input: NodeSettingsInput) {
    const { name, zone, host, port, graceS, revokeMs, configApplyMs } = input;
    return {
        node: name,
        ip: host,
        zone,
        region: "north",
        listen: { front: `${host}:${port}`, ready: `${host}:${port + 1}`, control: `${host}:${port + 2}` },
        portRange: [port + 3, port + 9],
        bounds: { contactMs: 3000, graceS, revokeMs, configApplyMs, maxHoldMs: 6000, stopTimeoutMs: 900 },
        platform: { address: input.storeAddress },
        cloud: { address: input.machinesAddress },
    };
}
