import { Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import { drawDay, readLogLines, traceDay } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeAnswer, writeError, writeLine } from "../output";

/** `samphirepin day`: summary of a day from the logs. */
export const day = defineCommand({
    id: "day",
    summary: "summarize arrivals, waiting work and failures of a day from the logs",
    description:
        "Prints changes of leadership, evacuations and losses of the store; --svg draws them with arrivals, waiting "
        + "work and machines of each pool.",
    flags: { ...logFlags, svg: Flags.string({ description: "SVG file to write" }) },
    examples: ["day --log *.log --svg day.svg"],
    async run({ flags }) {
        const summary = traceDay(await readLogLines(flags["log"] as string[]));
        const file = flags["svg"] as string | undefined;
        if (file !== undefined && !writeSvg(file, drawDay(summary))) {
            return ExitCode.Usage;
        }
        writeAnswer(
            summary,
            flags["json"] === true,
            ({ events }) => events.forEach(({ atS, text }) => writeLine(`${atS.toFixed(1).padStart(8)} s  ${text}`)),
        );
        return ExitCode.Done;
    },
});

function writeSvg(file: string, svg: string): boolean {
    try {
        writeFileSync(file, svg);
        return true;
    }
    catch (error) {
        writeError(`cannot write ${file}: ${String(error)}`);
        return false;
    }
}
