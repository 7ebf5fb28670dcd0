import { addUnits, fitsWithin, isNoUnits, minUnits, noUnits, subtractUnits, unitNames, type Units } from "./units";

/** What one holder asks for out of the room that is to be divided. */
export interface Demand {
    readonly boot: string;
    /** What it has already; those with less go first. */
    readonly held: Units;
    readonly wants: Units;
    /** What makes one more task possible; room is given out in whole steps, so that no useless fragments arise. */
    readonly firstStep: Units;
    readonly step: Units;
}

/** Most steps for one division; larger demands are given out in larger steps. */
const maxSteps = 2000;

interface Filling {
    readonly demand: Demand;
    given: Units;
    isDone: boolean;
}

/** Gives the room out step by step, always to the holder with the least so far; gives what each boot gets. */
export function fillDemands(room: Units, whole: Units, demands: readonly Demand[]): ReadonlyMap<string, Units> {
    const fillings = demands.map((demand): Filling => ({ demand, given: noUnits, isDone: false }));
    const total = demands.reduce((sum, { wants }) => sum + wants.tasks, 0);
    const scale = Math.max(1, Math.ceil(total / maxSteps));
    let left = room;
    for (;;) {
        const next = findLeast(fillings, whole);
        if (next === undefined) {
            break;
        }
        const taken = takeStep(next, left, scale) ?? takeStep(next, left, 1);
        if (taken === undefined) {
            next.isDone = true;
            continue;
        }
        next.given = addUnits(next.given, taken);
        left = subtractUnits(left, taken);
    }
    return new Map(fillings.map(({ demand, given }) => [demand.boot, given]));
}

function takeStep({ demand, given }: Filling, left: Units, scale: number): Units | undefined {
    const isFirst = isNoUnits(given);
    const step = isFirst ? demand.firstStep : multiply(demand.step, scale);
    const wanted = minUnits(step, subtractUnits(demand.wants, given));
    return isNoUnits(wanted) || !fitsWithin(wanted, left) ? undefined : wanted;
}

function multiply(step: Units, scale: number): Units {
    let product = noUnits;
    for (let at = 0; at < scale; at++) {
        product = addUnits(product, step);
    }
    return product;
}

function findLeast(fillings: readonly Filling[], whole: Units): Filling | undefined {
    let least: { filling: Filling; share: number; } | undefined;
    for (const filling of fillings) {
        if (!filling.isDone) {
            const share = shareOf(addUnits(filling.demand.held, filling.given), whole);
            if (least === undefined || share < least.share) {
                least = { filling, share };
            }
        }
    }
    return least?.filling;
}

/** The largest part of the whole in any dimension. */
function shareOf(units: Units, whole: Units): number {
    return Math.max(...unitNames.map((name) => whole[name] === 0 ? 0 : units[name] / whole[name]));
}
