import { type Act, endOf, type Schedule } from "./schedule";

/** A machine is out of touch for this long after an impairment, in milliseconds; what was held up is over by then. */
export const contactMs = 3000;

export interface Calm {
    /** Whether nothing that orders to a worker depend on was impaired in a span of time or shortly before it. */
    isCalm(worker: string, fromMs: number, toMs: number): boolean;
}

export function createCalm({ acts }: Schedule): Calm {
    return {
        isCalm: (worker, fromMs, toMs) =>
            !acts.some((act) => impairs(act, worker) && act.atMs <= toMs && endOf(act) + contactMs >= fromMs),
    };
}

function impairs(act: Act, worker: string): boolean {
    switch (act.kind) {
        case "cancel":
        case "addEntry":
            return false;
        case "workerFault":
            return act.workers.includes(worker);
        case "crash":
        case "unlist":
        case "loseStarts":
            return act.worker === worker;
        case "storeFault":
        case "slowStore":
        case "forgetHistory":
        case "cutWatches":
        case "kill":
        case "stop":
        case "freeze":
        case "cutPeer":
        case "freezePeers":
        case "unfit":
        case "evacuate":
            return true;
    }
}
