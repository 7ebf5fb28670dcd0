import type { Dispatch } from "../dispatch";
import type { Limits } from "../limits";
import type { Peer, Peers } from "../peers";
import { cancelSchema, forwardingTopics, type RunAnswer, type RunMessage, runSchema } from "./messages";

export interface HandleForwardedTasksOptions {
    readonly dispatch: Dispatch;
    readonly limits: Limits;
    readonly peers: Peers;
}

/**
 * Maximum waiting time of a forwarded task, in milliseconds. There was free capacity when it was sent, so a task that
 * doesn't start in this time goes back to its sender.
 */
const maxWaitMs = 1000;

/** Runs tasks that other entries forward. They are never forwarded again, so that no task can loop between entries. */
export function handleForwardedTasks(opts: HandleForwardedTasksOptions): void {
    const running = new Map<string, AbortController>();

    async function run(from: Peer, message: RunMessage): Promise<RunAnswer> {
        if (!opts.limits.hasFreeCapacity(message.team, message.size)) {
            return { kind: "noRoom" };
        }
        const name = `${from.boot}\n${message.id}`;
        const controller = new AbortController();
        running.set(name, controller);
        const { remainingMs, keyId, ...task } = message;
        const end = await opts.dispatch.run({
            task: {
                ...task,
                ...keyId === undefined ? {} : { keyId },
                deadlineAtMs: Date.now() + Math.min(remainingMs, maxWaitMs),
            },
            signal: controller.signal,
            beforeSend: () => Promise.resolve(undefined),
        });
        running.delete(name);
        return { kind: "ended", end };
    }

    opts.peers.onRequest(forwardingTopics.run, async (from, body): Promise<RunAnswer> => {
        const { data } = runSchema.safeParse(body);
        return data === undefined ? { kind: "noRoom" } : run(from, data);
    });
    opts.peers.onMessage(forwardingTopics.cancel, (from, body) => {
        const { data } = cancelSchema.safeParse(body);
        running.get(`${from.boot}\n${data?.id ?? ""}`)?.abort();
    });
}
