import { install } from "@sinonjs/fake-timers";
import { build, type Histogram } from "hdr-histogram-js";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Figures } from "../experiment";
import { createRequest } from "./createCluster";
import { createOnceFleet, type OnceFleet } from "./createOnceFleet";

/** How a request that may not be repeated is guarded. */
export type Way = "claims in groups" | "tickets" | "claim per request";

export interface Load {
    readonly way: Way;
    readonly entries: number;
    readonly requestsPerSecond: number;
    readonly seconds: number;
    readonly seed: number;
}

const microsPerMs = 1000;

/** Loads the guard alone, on a paused clock: what it adds to a request, and what it costs the platform. */
export async function measureLoad(load: Load): Promise<Figures> {
    const clock = install({
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    try {
        const fleet = createOnceFleet(load.entries);
        const histogram = build();
        const generator = xoroshiro128plus(load.seed);
        const count = load.requestsPerSecond * load.seconds;
        let refused = 0;
        for (let at = 0; at < count; at++) {
            const atMs = uniformInt(generator, 0, load.seconds * 1000 - 1);
            const entry = uniformInt(generator, 0, load.entries - 1);
            const home = uniformInt(generator, 0, load.entries - 1);
            setTimeout(() => {
                void guardOne(fleet, load.way, `payment-${at}`, entry, home, histogram).then((isDone) => {
                    refused += isDone ? 0 : 1;
                });
            }, atMs);
        }
        await clock.tickAsync(load.seconds * 1000 + 5000);
        const { read, write } = fleet.platform.calls;
        return {
            requests: count,
            refused,
            p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
            p99Ms: histogram.getValueAtPercentile(99) / microsPerMs,
            writesPerSecond: write / load.seconds,
            readsPerSecond: read / load.seconds,
            writesPerRequest: write / count,
        };
    }
    finally {
        clock.uninstall();
    }
}

/** Gives false where the request was refused. */
async function guardOne(
    fleet: OnceFleet,
    way: Way,
    key: string,
    entry: number,
    home: number,
    histogram: Histogram,
): Promise<boolean> {
    const { once, platform } = fleet.entries[entry]!;
    const startedAtMs = performance.now();
    const signal = new AbortController().signal;
    if (way === "claim per request") {
        const written = await platform.compareAndSwap(`samphirepin/claim/${key}`, 0, JSON.stringify({ entry }));
        histogram.recordValue((performance.now() - startedAtMs) * microsPerMs);
        return written.isRight();
    }
    // A ticket's request reaches any entry; its home runs it, one more way between entries.
    const runner = way === "tickets" ? fleet.entries[home]!.once : once;
    const idempotencyKey = way === "tickets" ? runner.issueTicket("stables").ticket : key;
    const request = createRequest(key, idempotencyKey, 1, 60_000);
    if (way === "tickets" && home !== entry) {
        await new Promise((resolve) => setTimeout(resolve, 1));
    }
    const admission = await runner.admit(request, signal);
    const problem = admission.kind === "run" ? await runner.claim(admission.claim) : undefined;
    histogram.recordValue((performance.now() - startedAtMs) * microsPerMs);
    if (admission.kind === "run") {
        void runner.settle(admission.claim, { kind: "answered", body: "done", instance: "worker" }, signal);
    }
    return admission.kind === "run" && problem === undefined;
}
