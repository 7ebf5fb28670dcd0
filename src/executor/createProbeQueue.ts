import type { Peer, Peers } from "../peers";
import type { FleetState, Instance } from "../state";
import { rankOf } from "./rankOf";

export interface ProbeQueue {
    /** The instances to probe in this round: those that gave no answer lately, then the next ones in turn. */
    next(state: FleetState, suspects: readonly string[]): readonly Instance[];
}

/**
 * Divides instances over the connected entries of their zone by rendezvous hashing, so that each is probed by one
 * entry near it. Where no connected entry is in the zone, all share it.
 */
export function createProbeQueue(peers: Peers, perRound: number): ProbeQueue {
    let dividedFor = "";
    let dividedState: FleetState["instances"] | undefined;
    let own: readonly string[] = [];
    let at = 0;

    function divide(state: FleetState): void {
        const all = [peers.self, ...peers.connected()];
        const boots = all.map(({ boot }) => boot).sort().join();
        if (boots === dividedFor && dividedState === state.instances) {
            return;
        }
        dividedFor = boots;
        dividedState = state.instances;
        const byZone = new Map<string, string[]>();
        all.forEach((peer) => byZone.set(zoneOf(peer), [...byZone.get(zoneOf(peer)) ?? [], peer.boot]));
        own = Object.values(state.instances).filter((instance) => {
            const near = byZone.get(zoneOf(instance)) ?? all.map(({ boot }) => boot);
            return isWatched(instance) && near.includes(peers.self.boot)
                && rankOf(peers.self.boot, instance.name, near) === 0;
        }).map(({ name }) => name);
    }

    return {
        next(state, suspects) {
            divide(state);
            const chosen = new Set(suspects.filter((name) => own.includes(name)).slice(0, perRound));
            for (let looked = 0; looked < own.length && chosen.size < perRound; looked++) {
                at = (at + 1) % own.length;
                chosen.add(own[at] ?? "");
            }
            return [...chosen].flatMap((name) => {
                const instance = state.instances[name];
                return instance !== undefined && isWatched(instance) ? [instance] : [];
            });
        },
    };
}

/** The others are looked at by whoever carries out their plan. */
function isWatched({ state }: Instance): boolean {
    return state.kind === "serving" || state.kind === "lost";
}

function zoneOf({ region, zone }: Pick<Peer, "region" | "zone">): string {
    return `${region}/${zone}`;
}
