import { z } from "zod";
import type { Peers } from "../peers";
import type { Scheduler } from "../scheduler";
import type { StoreItem } from "../store";

const acceptedTopic = "submissionAccepted";
const acceptedSchema = z.object({ key: z.string(), text: z.string(), revision: z.number().int() });

/**
 * Answer time of the store from which on the leader is notified, in milliseconds. A fast store delivers the record by its
 * watch about as soon as the notification would arrive.
 */
const slowStoreMs = 50;

export interface AcceptanceNotifierOptions {
    readonly peers: Peers;
    readonly leaderBoot: () => string | undefined;
    /** The scheduler of this entry; `undefined` while this entry isn't the leader. */
    readonly scheduler: () => Scheduler | undefined;
}

/** Tells the leader of submissions that this entry has stored. */
export interface AcceptanceNotifier {
    /** Notifies the leader of a stored record, if the store took `tookMs` milliseconds and is slow by that. */
    onStored(item: StoreItem, tookMs: number): void;
}

/**
 * Creates a notifier for the time in which the store is slow. A leader learns of a submission by its watch, which takes
 * one to two answers of the store; a store that needs 200 ms would use up most of what a short submission has to spare.
 * A lost notification only means that the leader waits for its watch.
 */
export function createAcceptanceNotifier(opts: AcceptanceNotifierOptions): AcceptanceNotifier {
    const { peers } = opts;
    peers.onMessage(acceptedTopic, (_from, body) => {
        const item = acceptedSchema.safeParse(body).data;
        if (item !== undefined) {
            opts.scheduler()?.applyRecord(item);
        }
    });

    return {
        onStored(item, tookMs) {
            if (tookMs < slowStoreMs) {
                return;
            }
            const scheduler = opts.scheduler();
            const boot = opts.leaderBoot();
            if (scheduler !== undefined) {
                scheduler.applyRecord(item);
            }
            else if (boot !== undefined) {
                peers.send(boot, acceptedTopic, item);
            }
        },
    };
}
