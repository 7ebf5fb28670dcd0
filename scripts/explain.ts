import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/**
 * Joins the log lines of all processes that concern one submission into one story:
 *
 *     npm run explain -- SUBMISSION LOG...
 *
 * It prints every line that names the submission or one of its tasks, in order of time, and with them the lines about the
 * workers that ran them and about changes of the duty meanwhile.
 */

interface Line {
    readonly timestamp: string;
    readonly message: string;
    readonly instance?: string;
    readonly worker?: string;
    readonly name?: string;
    readonly [field: string]: unknown;
}

/** Kinds that explain what happened around a submission. */
const surroundingKinds = new Set(["duty", "workerEnded", "workerHealth", "dependency"]);

async function readLines(file: string): Promise<readonly Line[]> {
    const lines: Line[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        // Collectors put their own prefix before the JSON of a line.
        const at = text.indexOf("{");
        try {
            if (at >= 0) {
                lines.push(JSON.parse(text.slice(at)) as Line);
            }
        }
        catch {
            process.stderr.write(`left out, not a log line: ${text.slice(0, 80)}\n`);
        }
    }
    return lines;
}

function isOwn(line: Line, id: string): boolean {
    return line["submission"] === id || line["requestId"] === id || String(line["task"] ?? "").startsWith(`${id}.`);
}

function isAround(line: Line, workers: ReadonlySet<string>, from: string, to: string): boolean {
    if (line.timestamp < from || line.timestamp > to || !surroundingKinds.has(line.message)) {
        return false;
    }
    const worker = line.worker ?? line.instance;
    const named = line.message === "dependency" ? line.name?.replace("worker ", "") : worker;
    return line.message === "duty" || named === "store" || workers.has(named ?? "");
}

function render({ timestamp, message, instance, level: _level, ...fields }: Line): string {
    const rest = Object.entries(fields).filter(([, value]) => value !== "").map(([name, value]) =>
        `${name}=${String(value)}`
    );
    return `${timestamp} ${instance ?? ""} ${message} ${rest.join(" ")}`;
}

async function main(): Promise<void> {
    const [id, ...files] = process.argv.slice(2);
    if (id === undefined || files.length === 0) {
        process.stderr.write("usage: npm run explain -- SUBMISSION LOG...\n");
        process.exitCode = 2;
        return;
    }
    const lines = (await Promise.all(files.map(readLines))).flat();
    const own = lines.filter((line) => isOwn(line, id)).sort((a, b) => a.timestamp < b.timestamp ? -1 : 1);
    const workers = new Set(own.flatMap(({ worker }) => worker === undefined ? [] : [worker]));
    const [from, to] = [own[0]?.timestamp ?? "", own.at(-1)?.timestamp ?? ""];
    const around = lines.filter((line) => isAround(line, workers, from, to) && !own.includes(line));
    const story = [...own, ...around].sort((a, b) => a.timestamp < b.timestamp ? -1 : 1);
    process.stdout.write(story.map((line) => `${render(line)}\n`).join(""));
    process.stdout.write(`${own.length} lines of ${id}, ${around.length} around it\n`);
}

void main();
