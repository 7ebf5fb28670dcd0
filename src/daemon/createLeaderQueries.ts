import type { Peers } from "../peers";
import type { Scheduler } from "../scheduler";
import type { LeaderQueries, SubmissionState } from "../submissions";

const stateTopic = "state";
const countTopic = "count";

/** Timeout of a question to the leader, in milliseconds. After it the caller reads the store instead. */
const timeoutMs = 250;

export interface LeaderQueriesOptions {
    readonly peers: Peers;
    readonly leaderBoot: () => string | undefined;
    /** The scheduler of this entry; `undefined` while this entry isn't the leader. */
    readonly scheduler: () => Scheduler | undefined;
}

/** Creates queries to the leader, which is this entry or a peer; `undefined` is returned where it doesn't answer. */
export function createLeaderQueries(
    { peers, leaderBoot: findLeaderBoot, scheduler }: LeaderQueriesOptions,
): LeaderQueries {
    peers.onRequest(stateTopic, (_from, id) => Promise.resolve(scheduler()?.findState(String(id))));
    peers.onRequest(countTopic, (_from, route) => Promise.resolve(scheduler()?.countPending(String(route))));

    async function askLeader(topic: string, body: string): Promise<unknown> {
        const boot = findLeaderBoot();
        if (boot === undefined || boot === peers.self.boot) {
            return undefined;
        }
        const answer = await peers.request(boot, topic, body, timeoutMs);
        return answer.orDefault(undefined);
    }

    return {
        async findState(id) {
            const localScheduler = scheduler();
            return localScheduler === undefined
                ? await askLeader(stateTopic, id) as SubmissionState | undefined
                : localScheduler.findState(id);
        },
        async countPending(route) {
            const localScheduler = scheduler();
            return localScheduler === undefined
                ? await askLeader(countTopic, route) as number | undefined
                : localScheduler.countPending(route);
        },
    };
}
