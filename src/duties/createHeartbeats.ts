import { z } from "zod";
import type { Clocks } from "../clock";
import type { Peers } from "../peers";
import type { Tenure } from "./leaderElection";

export const heartbeatTopic = "leaderHeartbeat";
export const heartbeatAckTopic = "leaderHeartbeatAck";

/** Body of a heartbeat and of its acknowledgement, which returns it unchanged. */
export const heartbeatSchema = z.object({
    token: z.number().int(),
    /** When the heartbeat was sent, on the leader's own clock, in milliseconds. */
    sentAtMs: z.number(),
});

export interface HeartbeatsOptions {
    readonly peers: Peers;
    readonly clocks: Clocks;
    /** Boots of the standbys, at the time of the call. */
    readonly standbys: () => readonly string[];
    /** Whether all entries that are up are in one availability zone. */
    readonly isSingleZone: () => boolean;
}

/** The leader's heartbeats to its standbys. */
export interface Heartbeats {
    /** Sends heartbeats while the tenure lasts. */
    begin(tenure: Tenure): void;
    end(): void;
    /**
     * Whether a standby in another zone has acknowledged a recent heartbeat, or none of the present standbys there has
     * acknowledged any in this tenure. Without such a standby no other entry can take over on evidence.
     */
    isHeard(): boolean;
}

/** Interval of heartbeats, in milliseconds. */
const heartbeatMs = 100;

/**
 * Age of the last acknowledged heartbeat up to which the leader counts as heard, in milliseconds. It is less than the
 * silence that standbys have to observe before one of them takes over.
 */
const heardMs = 300;

/**
 * Creates the leader's side of the heartbeats.
 *
 * The age of an acknowledgement counts from the sending of its heartbeat. A leader that was suspended finds old
 * acknowledgements waiting; by the time of their arrival it would count as heard although it has been replaced.
 */
export function createHeartbeats({ peers, clocks, standbys, isSingleZone }: HeartbeatsOptions): Heartbeats {
    let tenure: Tenure | undefined;
    /** By boot of a standby, its zone and when the latest heartbeat was sent that it has acknowledged. */
    const acknowledged = new Map<string, { readonly zone: string; readonly sentAtMs: number; }>();
    let timer: NodeJS.Timeout | undefined;

    peers.onMessage(heartbeatAckTopic, (from, body) => {
        const heartbeat = heartbeatSchema.safeParse(body).data;
        if (heartbeat !== undefined && heartbeat.token === tenure?.token) {
            const { sentAtMs } = heartbeat;
            const latestMs = Math.max(acknowledged.get(from.boot)?.sentAtMs ?? sentAtMs, sentAtMs);
            acknowledged.set(from.boot, { zone: from.zone, sentAtMs: latestMs });
        }
    });

    function send(): void {
        if (tenure?.isValid() === true) {
            const body = { token: tenure.token, sentAtMs: clocks.suspendAwareMs() };
            standbys().forEach((boot) => peers.send(boot, heartbeatTopic, body));
        }
    }

    function end(): void {
        clearInterval(timer);
        tenure = undefined;
    }

    return {
        begin(begun) {
            end();
            tenure = begun;
            acknowledged.clear();
            timer = setInterval(send, heartbeatMs);
            send();
        },
        end,
        isHeard() {
            // Zones are compared now: an entry of another zone may have joined a fleet with one zone.
            const isWitness = ({ zone }: { readonly zone: string; }) => zone !== peers.self.zone || isSingleZone();
            const witnesses = standbys().flatMap((boot) => acknowledged.get(boot) ?? []).filter(isWitness);
            const heardAtMs = Math.max(...witnesses.map(({ sentAtMs }) => sentAtMs));
            return witnesses.length === 0 || clocks.suspendAwareMs() - heardAtMs <= heardMs;
        },
    };
}
