import type { Policy } from "../../src/policy";
import type { WorkerEntry } from "../../src/scheduler";

interface KeyAndText {
    readonly key: string;
    readonly text: string;
}

/** What a worker writes of itself to the store. */
export function encodeWorkerEntry(entry: WorkerEntry): KeyAndText {
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
        routes: policy.routes.map((route) => ({
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
        services: [...policy.services.values()].map(({ name, rejectsOverload, isStandby }) => ({
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
