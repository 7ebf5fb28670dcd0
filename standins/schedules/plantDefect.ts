import type { WorkerApi } from "../../src/runs";
import type { StateCopy } from "../../src/scheduler";

/** A defect that the search has to find, planted between the scheduler and the workers. */
export type Defect =
    /** A look without an answer counts as the end of the worker's life. */
    | "silenceEndsLife"
    /** Ends may be forgotten as soon as they are listed. */
    | "endsAckedAtOnce"
    /** Stops are taken and not carried out. */
    | "stopsDropped"
    /** No entry hears of evacuations. */
    | "evacuationsUnheard"
    /** A standby's copy counts as complete although it was not caught up. */
    | "copiesNotCaughtUp";

export function plantDefect(api: WorkerApi, defect: Defect): WorkerApi {
    switch (defect) {
        case "silenceEndsLife":
            return {
                ...api,
                async poll(worker, order) {
                    const result = await api.poll(worker, order);
                    return result.kind === "noAnswer" ? { kind: "otherLife" } : result;
                },
            };
        case "endsAckedAtOnce":
            return { ...api, poll: (worker, order) => lookAndAcknowledge(api, worker, order) };
        case "evacuationsUnheard":
            // Planted in what entries hear of the operators' instructions.
            return api;
        case "copiesNotCaughtUp":
            // Planted by `skipCatchUp`.
            return api;
        case "stopsDropped":
            return { ...api, stop: () => Promise.resolve({ kind: "noAnswer", detail: "a planted defect" }) };
    }
}

async function lookAndAcknowledge(
    api: WorkerApi,
    ...[worker, order]: Parameters<WorkerApi["poll"]>
): ReturnType<WorkerApi["poll"]> {
    const result = await api.poll(worker, order);
    if (result.kind === "listed" && result.ended.length > 0) {
        const ackedEnd = Math.max(...result.ended.map(({ number }) => number));
        await api.poll(worker, { ...order, ackedEnd, waitMs: 0 });
    }
    return result;
}

/** Makes an old copy look as if it contained everything up to the tenure's token. */
export function skipCatchUp(copy: StateCopy | undefined, token: number): StateCopy | undefined {
    return copy && {
        ...copy,
        progress: { ...copy.progress, revision: token },
        submissions: { ...copy.submissions, revision: token },
        workers: { ...copy.workers, revision: token },
    };
}
