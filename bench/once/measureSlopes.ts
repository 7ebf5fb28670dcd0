import { createHash } from "node:crypto";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { ExperimentRow } from "../experiment";
import { createRequest } from "./createCluster";
import { createOnceFleet } from "./createOnceFleet";

setFlagsFromString("--expose_gc");
const collect = runInNewContext("gc") as () => void;

const batch = 500;

function heapBytes(): number {
    collect();
    return process.memoryUsage().heapUsed;
}

/** Claims real keys on one entry, and weighs the entry's memory and the platform's values. */
async function claimKeys(count: number): Promise<{ heap: number; stored: number; perClaim: number; }> {
    const before = heapBytes();
    const fleet = createOnceFleet(1);
    fleet.platform.delayMs = 0;
    const { once } = fleet.entries[0]!;
    const signal = new AbortController().signal;
    for (let from = 0; from < count; from += batch) {
        await Promise.all(Array.from({ length: batch }, async (_, at) => {
            const key = createHash("sha256").update(String(from + at)).digest("hex");
            const admission = await once.admit(createRequest(key, key, 1, 60_000), signal);
            if (admission.kind === "run") {
                await once.claim(admission.claim);
                await once.settle(admission.claim, { kind: "answered", body: "done", instance: "worker-1" }, signal);
            }
        }));
    }
    const stored = [...fleet.platform.values.values()].reduce((sum, { text }) => sum + text.length, 0);
    fleet.platform.values.clear();
    const heap = heapBytes() - before;
    return { heap, stored, perClaim: once.counts().claims };
}

/** Bytes for each claim, at the platform and in its home's memory, at growing numbers of claims. */
export async function measureSlopes(sizes: readonly number[]): Promise<readonly ExperimentRow[]> {
    const rows: ExperimentRow[] = [];
    for (const size of sizes) {
        const { heap, stored, perClaim } = await claimKeys(size);
        rows.push({
            setting: `${size} claims`,
            way: "slope",
            figures: {
                claims: perClaim,
                platformBytesPerClaim: Math.round(stored / size),
                homeHeapBytesPerClaim: Math.round(heap / size),
            },
        });
    }
    return rows;
}
