import type { Peers } from "../peers";
import type { Scheduler } from "../scheduler";
import type { LeaderQueries, SubmissionState } from "../submissions";

const stateTopic = "state";
const countTopic = "count";

/** How long the owner may take to answer, in milliseconds; the store is asked after that. */
const timeoutMs = 250;

export interface OwnerViewOptions {
    readonly peers: Peers;
    readonly ownerBoot: () => string | undefined;
    /** The scheduler of this entry, while it holds the duty. */
    readonly scheduler: () => Scheduler | undefined;
}

/** Asks the owner of the duty, which is this entry or a peer. */
export function createOwnerView({ peers, ownerBoot, scheduler }: OwnerViewOptions): LeaderQueries {
    peers.onRequest(stateTopic, (_from, id) => Promise.resolve(scheduler()?.findState(String(id))));
    peers.onRequest(countTopic, (_from, route) => Promise.resolve(scheduler()?.countPending(String(route))));

    async function ask(topic: string, body: string): Promise<unknown> {
        const boot = ownerBoot();
        if (boot === undefined || boot === peers.self.boot) {
            return undefined;
        }
        const answer = await peers.request(boot, topic, body, timeoutMs);
        return answer.orDefault(undefined);
    }

    return {
        async findState(id) {
            const own = scheduler();
            return own === undefined ? await ask(stateTopic, id) as SubmissionState | undefined : own.findState(id);
        },
        async countPending(route) {
            const own = scheduler();
            return own === undefined ? await ask(countTopic, route) as number | undefined : own.countPending(route);
        },
    };
}
