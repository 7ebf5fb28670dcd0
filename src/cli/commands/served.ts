import { listSizedSubmissions, measureServedBySize, readLogLines, type ServedSize } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeResult, writeTable } from "../output";

/** `samphirepin served`: what was served, by queue and size of the submissions. */
export const served = defineCommand({
    id: "served",
    summary: "summarize from the logs what was served, by queue and size",
    description:
        "By queue, for all submissions and by their declared work: the share that was complete in a useful time and by "
        + "its target, and medians of the times to the first start and from it to the last. Cancelled, long-running and "
        + "repeated submissions are left out, as are log lines dropped under load.",
    flags: logFlags,
    examples: ["served --log *.log", "served --log *.log --json"],
    async run({ flags }) {
        const sizes = measureServedBySize(listSizedSubmissions(await readLogLines(flags["log"] as string[])));
        writeResult(sizes, flags["json"] === true, () => writeTable(sizes.map(toRow)));
        return ExitCode.Done;
    },
});

function toRow(size: ServedSize): Record<string, string | number> {
    const { queue, count, servedShare, inTimeShare, firstStartMs, startSpanMs, restarts } = size;
    return {
        queue,
        size: size.size,
        count,
        served: `${Math.round(100 * servedShare)}%`,
        "in time": `${Math.round(100 * inTimeShare)}%`,
        "first start ms": firstStartMs === undefined ? "" : Math.round(firstStartMs),
        "to last start ms": startSpanMs === undefined ? "" : Math.round(startSpanMs),
        restarts: restarts.toFixed(1),
    };
}
