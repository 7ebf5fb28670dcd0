import { type ChildProcess, fork } from "node:child_process";
import { availableParallelism } from "node:os";
import type { Cell } from "./cells";
import { type CellResult, runCell } from "./runCell";

export interface CellOutcome extends CellResult {
    readonly name: string;
    /** A broken invariant of the code under test or of the harness. */
    readonly crash?: string;
}

const maxProcesses = Math.max(1, Math.min(6, Math.floor(availableParallelism() / 2)));

/** Runs one cell; an exception is an outcome too. */
export async function runOne({ name, strikes, seed }: Cell): Promise<CellOutcome> {
    try {
        return { name, ...await runCell(strikes, seed) };
    }
    catch (error) {
        const crash = error instanceof Error ? error.stack ?? error.message : String(error);
        return { name, struck: 0, violations: [], calls: 0, answered: 0, starts: 0, crash };
    }
}

/** Runs the cells in a few processes; `file` is the program that runs one share of them and sends each outcome. */
export async function runCells(
    file: string,
    args: readonly string[],
    cells: readonly Cell[],
): Promise<readonly CellOutcome[]> {
    const outcomes: CellOutcome[] = [];
    await Promise.all(
        Array.from({ length: maxProcesses }, (_, share) =>
            new Promise<void>((resolve) => {
                const child: ChildProcess = fork(file, [...args, "--share", `${share}/${maxProcesses}`], {
                    execArgv: ["--import", "tsx"],
                });
                child.on("message", (outcome) => outcomes.push(outcome as CellOutcome));
                child.on("exit", (code) => {
                    if (code !== 0) {
                        process.stdout.write(`a process of the matrix ended with code ${String(code)}\n`);
                    }
                    resolve();
                });
            })),
    );
    const order = new Map(cells.map(({ name }, at) => [name, at]));
    return outcomes.sort((a, b) => (order.get(a.name) ?? 0) - (order.get(b.name) ?? 0));
}
