import type { Step } from "./submission";

/** Duration assumed where a client declares none, in milliseconds. */
export const defaultTaskMs = 1000;

/** Length of the critical path by the durations that the client declares, in milliseconds. */
export function declaredCriticalPathMs(steps: readonly Step[]): number {
    const endsMs: number[] = [];
    for (const { after, estimateMs } of steps) {
        const startMs = Math.max(0, ...after.map((earlier) => endsMs[earlier] ?? 0));
        endsMs.push(startMs + (estimateMs || defaultTaskMs));
    }
    return Math.max(0, ...endsMs);
}
