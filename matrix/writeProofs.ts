import { explainImpossible } from "./cells";
import { faults } from "./faults";
import { proofs } from "./proofs";
import { rows } from "./rows";
import type { CellOutcome } from "./runCells";

interface RunFacts {
    readonly seed: number;
    readonly pairs: number;
}

type Mark = "ok" | "FAILS" | "-" | "?";

/** Renders docs/PROOFS.md from the outcomes of a run. */
export function writeProofs(outcomes: readonly CellOutcome[], { seed, pairs }: RunFacts): string {
    const byName = new Map(outcomes.map((outcome) => [outcome.name, outcome]));
    const marks = rows.map((row) => faults.map((fault) => markOf(row.name, fault.name, byName)));
    const count = (mark: Mark) => marks.flat().filter((each) => each === mark).length;
    const pairOutcomes = outcomes.filter(({ name }) => name.startsWith("pair "));
    const badPairs = pairOutcomes.filter(isBad);
    return [
        "# Proofs",
        "",
        "This page is written by `npm run matrix`; do not edit it by hand.",
        "",
        "## The fault matrix",
        "",
        `Each cell runs three entries' deciding parts over in-memory stand-ins with the clock paused and advanced (seed`
        + ` ${seed}); the fault strikes when an entry reaches the step, and all ten promises are judged until the fleet has`
        + ` settled.`,
        "",
        `Steps with faults: ${count("ok")} passed, ${count("FAILS")} broke a promise, ${count("-")} cannot arise,`
        + ` ${count("?")} not yet run (the step was not reached).`,
        `Pairs of faults, and the same fault twice, by seed (\`--pairs ${pairs}\`): ${pairOutcomes.length} run,`
        + ` ${badPairs.length} broke a promise.`,
        "",
        `| step | ${faults.map(({ name }) => name).join(" | ")} |`,
        `|---|${faults.map(() => "---").join("|")}|`,
        ...rows.map(({ name }, at) => `| ${name} | ${marks[at]?.join(" | ")} |`),
        "",
        "`-`: cannot arise:",
        "",
        ...listImpossible(),
        "",
        ...listBad(outcomes),
        "## Promise by promise",
        "",
        ...proofs.flatMap(({ promise, proved, notProved }) => [
            `### ${promise}`,
            "",
            ...proved.map((line) => `- ${line}`),
            ...notProved.map((line) => `- Not proved: ${line}`),
            "",
        ]),
    ].join("\n");
}

function isBad({ violations, crash }: CellOutcome): boolean {
    return violations.length > 0 || crash !== undefined;
}

function markOf(row: string, fault: string, byName: ReadonlyMap<string, CellOutcome>): Mark {
    if (explainImpossible(row, fault) !== undefined) {
        return "-";
    }
    const outcome = byName.get(`${row} | ${fault}`);
    if (outcome === undefined) {
        return "?";
    }
    return isBad(outcome) ? "FAILS" : outcome.struck === 0 ? "?" : "ok";
}

function listImpossible(): string[] {
    return rows.flatMap((row) =>
        faults.flatMap((fault) => {
            const reason = explainImpossible(row.name, fault.name);
            return reason === undefined ? [] : [`- ${row.name}, ${fault.name}: ${reason}.`];
        })
    );
}

function listBad(outcomes: readonly CellOutcome[]): string[] {
    const lines = outcomes.filter(isBad).map(({ name, violations, crash }) =>
        `- ${name}: ${crash?.split("\n")[0] ?? `${violations[0]?.promise}: ${violations[0]?.detail}`}`
    );
    return lines.length === 0 ? [] : ["Cells that broke a promise:", "", ...lines, ""];
}
