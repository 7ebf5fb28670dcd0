import { z } from "zod";
import { pause } from "../clock";
import type { Peers } from "../peers";

const unsettledTopic = "submissionsUnsettled";

/** Most submissions in one message, which bounds what the leader sends in an outage of the store. */
const maxIds = 1000;

const unsettledSchema = z.object({ ids: z.array(z.string()).max(maxIds), isFromLeader: z.boolean() });

/** Pause in which the leader collects what it passes on, in milliseconds: each message goes to all entries. */
const collectMs = 250;

export interface UnsettledNotifierOptions {
    readonly peers: Pick<Peers, "send" | "broadcast" | "onMessage">;
    readonly leaderBoot: () => string | undefined;
    readonly isLeader: () => boolean;
    /** Other entries have written submissions without an answer of the store: the writes may still be carried out. */
    onUnsettled(ids: readonly string[]): void;
}

/** Tells the other entries of submissions that this one has written without an answer of the store. */
export interface UnsettledNotifier {
    notify(ids: readonly string[]): void;
}

/**
 * Creates a notifier that goes through the leader, which has links to all entries.
 *
 * A client that got no answer sends the submission again, to any entry. An entry that refuses it says that it never runs,
 * which would be untrue if the write of the other entry were carried out later. Without a leader, the linked entries are
 * told. A lost message leaves the other entries as if there had been no attempt.
 */
export function createUnsettledNotifier(opts: UnsettledNotifierOptions): UnsettledNotifier {
    const { peers } = opts;
    /** What the leader still has to pass on. */
    const collected = new Set<string>();

    async function passOn(ids: readonly string[]): Promise<void> {
        const isPassingOn = collected.size > 0;
        ids.forEach((id) => collected.add(id));
        while (!isPassingOn && collected.size > 0) {
            await pause(collectMs);
            const sent = [...collected].slice(0, maxIds);
            peers.broadcast(unsettledTopic, { ids: sent, isFromLeader: true });
            sent.forEach((id) => collected.delete(id));
        }
    }

    peers.onMessage(unsettledTopic, (_from, body) => {
        const message = unsettledSchema.safeParse(body).data;
        if (message === undefined) {
            return;
        }
        opts.onUnsettled(message.ids);
        if (!message.isFromLeader && opts.isLeader()) {
            void passOn(message.ids);
        }
    });

    return {
        notify(ids) {
            const leader = opts.leaderBoot();
            if (opts.isLeader()) {
                void passOn(ids);
            }
            else if (leader === undefined || !peers.send(leader, unsettledTopic, { ids, isFromLeader: false })) {
                peers.broadcast(unsettledTopic, { ids, isFromLeader: false });
            }
        },
    };
}
