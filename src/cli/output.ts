import type { Problem } from "../errors";

export function writeLine(text: string): void {
    process.stdout.write(`${text}\n`);
}

export function writeError(text: string): void {
    process.stderr.write(`${text}\n`);
}

export function writeJson(value: unknown): void {
    writeLine(JSON.stringify(value, undefined, 2));
}

/** Writes a value as JSON if `isJson` is set, otherwise with `render`. */
export function writeAnswer<T>(value: T, isJson: boolean, render: (value: T) => void): void {
    if (isJson) {
        writeJson(value);
    }
    else {
        render(value);
    }
}

/** Writes rows as a table with a header; each column is as wide as its widest cell. */
export function writeTable(rows: readonly Readonly<Record<string, unknown>>[]): void {
    const names = [...new Set(rows.flatMap((row) => Object.keys(row)))];
    const cells = [
        names.map((name) => name.toUpperCase()),
        ...rows.map((row) => names.map((name) => toCell(row[name]))),
    ];
    const widths = names.map((_, column) => Math.max(...cells.map((line) => line[column]?.length ?? 0)));
    cells.forEach((line) =>
        writeLine(line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd())
    );
    if (rows.length === 0) {
        writeLine("none");
    }
}

function toCell(value: unknown): string {
    if (value === undefined) {
        return "";
    }
    return typeof value === "object" ? JSON.stringify(value) : String(value);
}

/** Writes a problem: what was refused, the reason, and a hint for the operator. */
export function writeProblem(problem: Problem): void {
    writeError(`${problem.code}: ${problem.title}: ${problem.detail}`);
    problem.fields?.forEach(({ field, message }) => writeError(`  ${field}: ${message}`));
    writeError(`hint: ${problem.hint}`);
    if (problem.retryAfterSeconds !== undefined) {
        writeError(`retry in ${problem.retryAfterSeconds} s`);
    }
}
