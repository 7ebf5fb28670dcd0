import type { Policy } from "../../src/policy";
import type { Step, Submission } from "../../src/submissions";

/** A step without anything special; scenarios change what they are about. */
export const plainStep: Step = {
    count: 1,
    size: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 },
    estimateMs: 500,
    after: [],
    hasCheckpoints: false,
    isGang: false,
    isSingleRack: false,
    workerLabel: undefined,
    dataRack: undefined,
    maxPerWorker: 0,
    isSpeculative: false,
    isLongRunning: false,
    image: undefined,
    targetLatencyMs: 0,
    isFiller: false,
    maxUnavailable: 0,
};

export const plainRoute = {
    name: "stalls",
    host: "stalls.example",
    pathPrefix: "/stalls/",
    service: "stalls",
    isPublic: false,
    priority: 0,
    maxAttempts: 3,
    stretch: 1.6,
    targetLatencyMs: 600,
    timeoutMs: 3000,
    advice: undefined,
};

export const plainPolicy: Policy = {
    version: 1,
    queues: [plainRoute],
    pools: new Map([["stalls", { name: "stalls", rejectsOverload: false, isStandby: false, maxConnections: 64 }]]),
    tenants: [{ name: "giza", keys: ["key-1"], weight: 1, cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

/** A submission that runs its steps once. */
export function plainSubmission(id: string, steps: readonly Partial<Step>[] = [{}]): Submission {
    return {
        id,
        payload: "payload",
        steps: steps.map((step) => ({ ...plainStep, ...step })),
        schedule: { repeats: 0, startAtMs: 0, intervalMs: 0 },
        tenant: "giza",
        route: "stalls",
        service: "stalls",
        acceptedAtMs: Date.now(),
    };
}
