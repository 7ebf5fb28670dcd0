import { type LogLine, sortByTime } from "./readLogLines";

/** Log lines that concern one submission. */
export interface SubmissionTimeline {
    /** Lines that name the submission or one of its tasks. */
    readonly own: readonly LogLine[];
    /** Lines of the same period about the workers that ran its tasks, leadership, evacuations and the store. */
    readonly around: readonly LogLine[];
    /** All lines of both lists in chronological order. */
    readonly story: readonly LogLine[];
}

/** Kinds of lines that can explain what happened to a submission. */
const relatedKinds = new Set(["duty", "workerEnded", "workerHealth", "dependency", "evacuation"]);

/** Collects the lines of all processes that concern one submission. */
export function explainSubmission(lines: readonly LogLine[], id: string): SubmissionTimeline {
    const own = lines.filter((line) => isOwn(line, id));
    const workers = new Set(own.flatMap(({ worker }) => worker === undefined ? [] : [worker]));
    const [from, to] = [own[0]?.timestamp ?? "", own.at(-1)?.timestamp ?? ""];
    const around = lines.filter((line) => isRelated(line, workers, from, to) && !own.includes(line));
    return { own, around, story: sortByTime([...own, ...around]) };
}

function isOwn(line: LogLine, id: string): boolean {
    return line["submission"] === id || line["requestId"] === id
        || [line["task"], line["step"]].some((name) => String(name ?? "").startsWith(`${id}.`));
}

function isRelated(line: LogLine, workers: ReadonlySet<string>, from: string, to: string): boolean {
    if (line.timestamp < from || line.timestamp > to || !relatedKinds.has(line.message)) {
        return false;
    }
    const worker = line.worker ?? line.instance;
    const subject = line.message === "dependency" ? line.name?.replace("worker ", "") : worker;
    const concernsAll = line.message === "duty" || line.message === "evacuation";
    return concernsAll || subject === "store" || workers.has(subject ?? "");
}

/** Formats a line for reading: time, instance, kind and fields. */
export function renderLogLine({ timestamp, message, instance, level: _level, ...fields }: LogLine): string {
    const rest = Object.entries(fields).filter(([, value]) => value !== "").map(([name, value]) =>
        `${name}=${String(value)}`
    );
    return `${timestamp} ${instance ?? ""} ${message} ${rest.join(" ")}`;
}
