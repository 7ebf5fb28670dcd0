import { build, type Histogram } from "hdr-histogram-js";

export interface LoadResult {
    readonly requests: number;
    readonly failures: number;
    readonly perSecond: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
}

type Send = (at: number) => Promise<boolean>;

const usPerMs = 1000;

/** Sends as fast as answers come, a fixed number at a time. */
export async function measureClosed(send: Send, atOnce: number, durationMs: number): Promise<LoadResult> {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const endAtMs = performance.now() + durationMs;
    const startedAtMs = performance.now();
    let [requests, failures] = [0, 0];

    async function work(): Promise<void> {
        while (performance.now() < endAtMs) {
            const sentAtMs = performance.now();
            const isOk = await send(requests++);
            failures += isOk ? 0 : 1;
            histogram.recordValue(Math.round((performance.now() - sentAtMs) * usPerMs));
        }
    }

    await Promise.all(Array.from({ length: atOnce }, work));
    return summarize(histogram, requests, failures, performance.now() - startedAtMs);
}

/** Sends at a fixed rate, whatever the answers do; a late send counts from when it was due. */
export async function measureOpen(send: Send, perSecond: number, durationMs: number): Promise<LoadResult> {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const startedAtMs = performance.now();
    const pending = new Set<Promise<void>>();
    let [requests, failures] = [0, 0];

    async function sendOne(dueAtMs: number, at: number): Promise<void> {
        const isOk = await send(at);
        failures += isOk ? 0 : 1;
        histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAtMs) * usPerMs)));
    }

    while (performance.now() - startedAtMs < durationMs) {
        const due = Math.floor((performance.now() - startedAtMs) * perSecond / 1000);
        for (; requests < due; requests++) {
            const one = sendOne(startedAtMs + requests * 1000 / perSecond, requests);
            pending.add(one);
            void one.finally(() => pending.delete(one));
        }
        await new Promise((resolve) => setImmediate(resolve));
    }
    await Promise.all(pending);
    return summarize(histogram, requests, failures, performance.now() - startedAtMs);
}

function summarize(histogram: Histogram, requests: number, failures: number, elapsedMs: number): LoadResult {
    return {
        requests,
        failures,
        perSecond: Math.round(requests / elapsedMs * 1000),
        p50Ms: histogram.getValueAtPercentile(50) / usPerMs,
        p99Ms: histogram.getValueAtPercentile(99) / usPerMs,
    };
}
