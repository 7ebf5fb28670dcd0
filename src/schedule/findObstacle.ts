import type { Resources } from "../resources";
import type { Step } from "../submissions";

/** What placement needs to know of a worker or a machine, apart from its use. */
export interface Host {
    readonly labels: readonly string[];
    readonly capacity: Resources;
}

/**
 * Why no host could run a step, even if all of them were empty.
 *
 * - `noHost`: there is none.
 * - `label`: none has the required label.
 * - `size`: none with that label is large enough for one task.
 * - `gangSize`: together they are too small for all tasks of the gang.
 */
export const Obstacle = { noHost: "noHost", label: "label", size: "size", gangSize: "gangSize" } as const;
export type Obstacle = typeof Obstacle[keyof typeof Obstacle];

/** Finds why no host could run a step; `undefined`: one could, apart from its health and from permits. */
export function findObstacle(step: Step, hosts: readonly Host[]): Obstacle | undefined {
    if (hosts.length === 0) {
        return Obstacle.noHost;
    }
    const labelled = hosts.filter(({ labels }) => step.workerLabel === undefined || labels.includes(step.workerLabel));
    if (labelled.length === 0) {
        return Obstacle.label;
    }
    const counts = labelled.map(({ capacity }) => countPlaces(capacity, step));
    const sum = counts.reduce((total, count) => total + count, 0);
    if (sum === 0) {
        return Obstacle.size;
    }
    return step.isGang && sum < step.count ? Obstacle.gangSize : undefined;
}

/** Number of tasks of a step that fit into a capacity on one host. */
export function countPlaces(capacity: Resources, { size, isFiller, maxPerWorker }: Step): number {
    return Math.min(
        isFiller ? Number.POSITIVE_INFINITY : divide(capacity.cpuMillis, size.cpuMillis),
        divide(capacity.memoryMb, size.memoryMb),
        divide(capacity.accelerators, size.accelerators),
        maxPerWorker > 0 ? maxPerWorker : Number.POSITIVE_INFINITY,
    );
}

function divide(capacity: number, size: number): number {
    return size > 0 ? Math.max(0, Math.floor(capacity / size)) : Number.POSITIVE_INFINITY;
}
