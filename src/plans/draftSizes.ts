import type { FleetState, Instance } from "../state";
import type { Intent } from "./intent";
import { addMove, listMembers, type PlanDraft } from "./planDraft";

interface Donor {
    readonly pool: string;
    /** Instances that planned work may have out of the pool at once. */
    readonly tokens: number;
    readonly free: Instance[];
    surplus: number;
    given: number;
}

/**
 * Drafts the moves that bring pools to the sizes asked for.
 * Only pools above their size give, and only pools below it take, so that the number of moves is the sum of what is
 * lacking: no plan can do with fewer. Donors give in proportion to their budgets, for a short roll-out; of a donor's
 * instances the one is taken whose rack and zone the receiver has least of.
 */
export function draftSizes(state: FleetState, intent: Intent, draft: PlanDraft): void {
    const stated = intent.pools.filter((pool) => pool.instances !== undefined);
    const donors: Donor[] = [];
    const lacking = new Map<string, number>();
    for (const pool of stated) {
        const members = listMembers(state, pool.name);
        const excess = members.length - (pool.instances ?? 0);
        draft.touches.add(`members ${pool.name}`);
        if (excess > 0) {
            const tokens = Math.max(1, pool.maxUnavailable - (pool.reserve ?? 0));
            const free = members.filter(({ name }) => !draft.work.has(name));
            donors.push({ pool: pool.name, tokens, free, surplus: excess, given: 0 });
        }
        else if (excess < 0) {
            lacking.set(pool.name, -excess);
        }
    }
    for (const [pool, wanted] of lacking) {
        fill(state, pool, wanted, donors, draft);
    }
    for (const { pool, surplus } of donors.filter((donor) => donor.surplus > 0)) {
        draft.notes.push(`pool ${pool} keeps ${surplus} more than asked for, as no other pool lacks any`);
    }
}

function fill(state: FleetState, pool: string, wanted: number, donors: Donor[], draft: PlanDraft): void {
    const racks = new Map<string, number>();
    const zones = new Map<string, number>();
    const note = ({ region, zone, rack }: Instance) => {
        increment(zones, `${region}/${zone}`);
        increment(racks, `${region}/${zone}/${rack}`);
    };
    const score = ({ region, zone, rack }: Instance) =>
        1000 * (zones.get(`${region}/${zone}`) ?? 0) + (racks.get(`${region}/${zone}/${rack}`) ?? 0);
    listMembers(state, pool).forEach(note);
    for (let missing = wanted; missing > 0; missing--) {
        const giving = donors.filter(({ surplus, free }) => surplus > 0 && free.length > 0);
        const donor = giving.sort((a, b) => (a.given + 1) / a.tokens - (b.given + 1) / b.tokens)[0];
        if (donor === undefined) {
            draft.refusals.push(`pool ${pool} would lack ${missing} instances: no pool has that many to give`);
            return;
        }
        const chosen = donor.free.reduce((best, each) => score(each) < score(best) ? each : best);
        donor.free.splice(donor.free.indexOf(chosen), 1);
        donor.surplus--;
        donor.given++;
        draft.fewestMoves++;
        note(chosen);
        addMove(draft, chosen, pool);
    }
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}
