import type { Clock } from "../../standins/dispatch";
import type { SchedulingWorld } from "../../standins/scheduling";

export interface World {
    clock: Clock;
    world: SchedulingWorld;
    entries: number;
    workers: number;
    ids: string[];
    workMs: Map<string, number>;
    slow?: string;
    /** Revision of the record that marks the submission as cancelled. */
    cancelledRevision?: number | undefined;
    /** When a submission was cancelled, on the monotonic clock. */
    cancelledAtMs?: number;
    heapBytes?: number;
}

/** Stand-ins move on each few milliseconds. */
export const stepMs = 10;

export async function pass(world: World, ms: number): Promise<void> {
    for (let at = 0; at < ms; at += stepMs) {
        await world.clock.advance(stepMs);
        world.world.tick();
    }
}

export function workerName(number: number): string {
    return `worker-${number}`;
}

export function storesOf(world: World): readonly string[] {
    return Array.from({ length: world.entries }, (_, at) => `entry-${at + 1}`);
}
