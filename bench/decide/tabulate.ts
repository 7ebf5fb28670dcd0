import { compare, type Pair } from "./compare";
import type { Decision } from "./decisions";
import type { Play } from "./plays";

/** How one variant differs from the way that stands, in one group of settings and one part of the worth. */
export interface DifferenceRow {
    readonly variant: string;
    /** A deployment, or a part of the model's fleets. */
    readonly group: string;
    readonly part: string;
    readonly pairs: number;
    readonly difference: string;
    readonly interval: string;
}

const worth = "worth";

/** Mean differences of each variant, the worth first and then what it is made of. */
export function tabulate({ variants }: Decision, plays: readonly Play[]): readonly DifferenceRow[] {
    const standing = variants.find(({ isStanding }) => isStanding)?.name ?? "";
    const groups = [...new Set(plays.map(groupOf))];
    const names = plays.flatMap(({ figures }) => Object.keys(figures));
    const parts = [...new Set([worth, ...names])];
    return variants.filter(({ isStanding }) => !isStanding).flatMap(({ name }) =>
        groups.flatMap((group) => {
            const inGroup = plays.filter((play) => groupOf(play) === group);
            return parts.flatMap((part) => toRow(name, group, part, pairUp(inGroup, standing, name, part)));
        })
    );
}

function groupOf({ setting }: Play): string {
    const end = setting.startsWith("model, ") ? ":" : " ";
    return setting.split(end, 1)[0] ?? setting;
}

function pairUp(plays: readonly Play[], standing: string, variant: string, part: string): readonly Pair[] {
    return plays.filter((play) => play.variant === variant).flatMap((play) => {
        const base = plays.find((each) => each.variant === standing && each.setting === play.setting);
        const [first, second] = [base, play].map((each) => each === undefined ? undefined : readFigure(each, part));
        return first === undefined || second === undefined
            ? []
            : [{ setting: play.setting, standing: first, other: second }];
    });
}

/** Prices that were not paid and rules that were not broken are left out of a report. */
function readFigure({ figures }: Play, part: string): number | undefined {
    const isLeftOutAtZero = part.startsWith("price: ") || part.startsWith("broken: ");
    return figures[part] ?? (isLeftOutAtZero ? 0 : undefined);
}

function toRow(variant: string, group: string, part: string, pairs: readonly Pair[]): readonly DifferenceRow[] {
    const difference = compare(pairs);
    if (difference.pairs === 0) {
        return [];
    }
    const { mean, least, most } = difference;
    const interval = `${least.toFixed(4)} to ${most.toFixed(4)}`;
    return [{ variant, group, part, pairs: difference.pairs, difference: mean.toFixed(4), interval }];
}
