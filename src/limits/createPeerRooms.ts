import type { Peer, Peers } from "../peers";
import type { TaskSize } from "../workers";
import type { RoomsMessage } from "./messages";
import { fitsWithin, subtractUnits, toTaskUnits, type Units } from "./units";

/** How long a peer's room counts, in milliseconds. */
const roomMs = 1500;

/** Remembers which connected entries lately had room for which teams. */
export function createPeerRooms(peers: Peers) {
    const byTeam = new Map<string, { readonly untilMs: number; readonly rooms: Map<string, Units>; }>();

    return {
        learn({ team, rooms }: RoomsMessage): void {
            const untilMs = performance.now() + roomMs;
            byTeam.set(team, { untilMs, rooms: new Map(rooms.map(({ boot, room }) => [boot, room])) });
        },
        /** Counts the task against the peer's room, so that a burst does not all go to one entry. */
        find(team: string, size: TaskSize): Peer | undefined {
            const known = byTeam.get(team);
            if (known === undefined || known.untilMs <= performance.now()) {
                byTeam.delete(team);
                return undefined;
            }
            const units = toTaskUnits(size);
            const peer = peers.connected().find(({ boot }) => {
                const room = known.rooms.get(boot);
                return room !== undefined && fitsWithin(units, room);
            });
            const room = peer === undefined ? undefined : known.rooms.get(peer.boot);
            if (peer !== undefined && room !== undefined) {
                known.rooms.set(peer.boot, subtractUnits(room, units));
            }
            return peer;
        },
    };
}
