import { type LogLine, sortByTime } from "./readLogLines";

/** What the logs tell of one submission. */
export interface SubmissionStory {
    /** Lines that name it or one of its tasks. */
    readonly own: readonly LogLine[];
    /** Lines about the workers that ran them, and about the duty and the store meanwhile. */
    readonly around: readonly LogLine[];
    /** All of them in order of time. */
    readonly story: readonly LogLine[];
}

/** Kinds that explain what happened around a submission. */
const surroundingKinds = new Set(["duty", "workerEnded", "workerHealth", "dependency", "evacuation"]);

/** Joins the lines of all processes that concern one submission. */
export function explainSubmission(lines: readonly LogLine[], id: string): SubmissionStory {
    const own = lines.filter((line) => isOwn(line, id));
    const workers = new Set(own.flatMap(({ worker }) => worker === undefined ? [] : [worker]));
    const [from, to] = [own[0]?.timestamp ?? "", own.at(-1)?.timestamp ?? ""];
    const around = lines.filter((line) => isAround(line, workers, from, to) && !own.includes(line));
    return { own, around, story: sortByTime([...own, ...around]) };
}

function isOwn(line: LogLine, id: string): boolean {
    return line["submission"] === id || line["requestId"] === id || String(line["task"] ?? "").startsWith(`${id}.`);
}

function isAround(line: LogLine, workers: ReadonlySet<string>, from: string, to: string): boolean {
    if (line.timestamp < from || line.timestamp > to || !surroundingKinds.has(line.message)) {
        return false;
    }
    const worker = line.worker ?? line.instance;
    const named = line.message === "dependency" ? line.name?.replace("worker ", "") : worker;
    const isOfAll = line.message === "duty" || line.message === "evacuation";
    return isOfAll || named === "store" || workers.has(named ?? "");
}

/** A line as one is read: time, instance, kind and its fields. */
export function renderLogLine({ timestamp, message, instance, level: _level, ...fields }: LogLine): string {
    const rest = Object.entries(fields).filter(([, value]) => value !== "").map(([name, value]) =>
        `${name}=${String(value)}`
    );
    return `${timestamp} ${instance ?? ""} ${message} ${rest.join(" ")}`;
}
