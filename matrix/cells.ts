import { createRandom } from "../standins/random";
import { faults } from "./faults";
import { rows } from "./rows";
import type { Strike } from "./runCell";

/** One run of the matrix: a fault at a step, or several by seed. */
export interface Cell {
    readonly name: string;
    readonly strikes: readonly Strike[];
    readonly seed: number;
}

const firstOccurrences = [1, 2] as const;
const startsWithoutTasks = ["entering the record of entries", "starting an entry"];

/** Why a fault cannot arise at a step; `undefined` where it can. */
export function explainImpossible(row: string, fault: string): string | undefined {
    return startsWithoutTasks.includes(row) && fault === "lease lapsed while paused"
        ? "an entry that starts holds no lease of a task yet"
        : undefined;
}

/** Every step with every fault; each strikes at an early and at a later time that the step is reached. */
export function listSingleCells(seed: number): readonly Cell[] {
    return rows.flatMap((row) =>
        faults
            .filter((fault) => explainImpossible(row.name, fault.name) === undefined)
            .map((fault, at) => ({
                name: `${row.name} | ${fault.name}`,
                strikes: [{
                    row,
                    fault,
                    occurrence: row.isSingle ? 1 : firstOccurrences[at % firstOccurrences.length] ?? 1,
                }],
                seed,
            }))
    );
}

/** Two strikes by seed: pairs of faults, and the same fault twice. */
export function listPairCells(count: number, seed: number): readonly Cell[] {
    return Array.from({ length: count }, (_, at) => {
        const random = createRandom(seed * 1_000_003 + at);
        const first = { row: random.pick(rows), fault: random.pick(faults), occurrence: random.int(1, 4) };
        const isSame = random.chance(25);
        const second = {
            row: isSame ? first.row : random.pick(rows),
            fault: isSame ? first.fault : random.pick(faults),
            occurrence: isSame ? first.occurrence + 1 : random.int(1, 4),
        };
        const name =
            `pair ${seed}.${at}: ${first.row.name} | ${first.fault.name} + ${second.row.name} | ${second.fault.name}`;
        return { name, strikes: [first, second], seed: seed * 1_000_003 + at };
    });
}
