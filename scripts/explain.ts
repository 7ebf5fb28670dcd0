import { type LogLine, readLogLines, sortByTime } from "./readLogLines";

/**
 * Joins the log lines of all processes that concern one submission into one story:
 *
 *     npm run explain -- SUBMISSION LOG...
 *
 * It prints every line that names the submission or one of its tasks, in order of time, and with them the lines about the
 * workers that ran them and about changes of the duty meanwhile.
 */

/** Kinds that explain what happened around a submission. */
const surroundingKinds = new Set(["duty", "workerEnded", "workerHealth", "dependency"]);

function isOwn(line: LogLine, id: string): boolean {
    return line["submission"] === id || line["requestId"] === id || String(line["task"] ?? "").startsWith(`${id}.`);
}

function isAround(line: LogLine, workers: ReadonlySet<string>, from: string, to: string): boolean {
    if (line.timestamp < from || line.timestamp > to || !surroundingKinds.has(line.message)) {
        return false;
    }
    const worker = line.worker ?? line.instance;
    const named = line.message === "dependency" ? line.name?.replace("worker ", "") : worker;
    return line.message === "duty" || named === "store" || workers.has(named ?? "");
}

function render({ timestamp, message, instance, level: _level, ...fields }: LogLine): string {
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
    const lines = await readLogLines(files);
    const own = lines.filter((line) => isOwn(line, id));
    const workers = new Set(own.flatMap(({ worker }) => worker === undefined ? [] : [worker]));
    const [from, to] = [own[0]?.timestamp ?? "", own.at(-1)?.timestamp ?? ""];
    const around = lines.filter((line) => isAround(line, workers, from, to) && !own.includes(line));
    const story = sortByTime([...own, ...around]);
    process.stdout.write(story.map((line) => `${render(line)}\n`).join(""));
    process.stdout.write(`${own.length} lines of ${id}, ${around.length} around it\n`);
}

void main();
