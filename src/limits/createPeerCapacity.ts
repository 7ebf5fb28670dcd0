import type { Peer, Peers } from "../peers";
import type { TaskSize } from "../workers";
import type { RoomsMessage } from "./messages";
import { fitsWithin, subtractUnits, toTaskUnits, type Units } from "./units";

const capacityValidMs = 1500;

/** Remembers which entries recently reported free capacity, per team. */
export function createPeerCapacity(peers: Peers) {
    const byTeam = new Map<string, { readonly untilMs: number; readonly rooms: Map<string, Units>; }>();

    return {
        update({ team, rooms }: RoomsMessage): void {
            const untilMs = performance.now() + capacityValidMs;
            byTeam.set(team, { untilMs, rooms: new Map(rooms.map(({ boot, room }) => [boot, room])) });
        },
        /**
         * Finds a connected entry with capacity for the task. Subtracts the task from it, so that a burst spreads over
         * several entries.
         */
        find(team: string, size: TaskSize): Peer | undefined {
            const known = byTeam.get(team);
            if (known === undefined || known.untilMs <= performance.now()) {
                byTeam.delete(team);
                return undefined;
            }
            const units = toTaskUnits(size);
            const peer = peers.connected().find(({ boot }) => {
                const capacity = known.rooms.get(boot);
                return capacity !== undefined && fitsWithin(units, capacity);
            });
            const capacity = peer === undefined ? undefined : known.rooms.get(peer.boot);
            if (peer !== undefined && capacity !== undefined) {
                known.rooms.set(peer.boot, subtractUnits(capacity, units));
            }
            return peer;
        },
    };
}
