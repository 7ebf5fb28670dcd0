import { appendFileSync, writeFileSync } from "node:fs";

/** Creates a writer of timed lines to a file and to standard output. */
export function createRecord(file) {
    const startedAtMs = performance.now();
    writeFileSync(file, "");
    return (line) => {
        const text = `${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${line}`;
        appendFileSync(file, `${text}\n`);
        console.log(text);
    };
}
