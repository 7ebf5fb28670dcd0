import { Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import { drawDay, readLogLines, traceDay } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeAnswer, writeError, writeLine } from "../output";

/** `samphirepin day`: a day at a glance. */
export const day = defineCommand({
    id: "day",
    summary: "tell from the logs what came, waited and went wrong over a day",
    description:
        "Prints changes of the duty, evacuations and lost stores; --svg draws them with arrivals, waiting work and "
        + "machines of each pool.",
    flags: { ...logFlags, svg: Flags.string({ description: "file to draw the day to" }) },
    examples: ["day --log *.log --svg day.svg"],
    async run({ flags }) {
        const trace = traceDay(await readLogLines(flags["log"] as string[]));
        const file = flags["svg"] as string | undefined;
        if (file !== undefined && !writeDrawing(file, drawDay(trace))) {
            return ExitCode.Usage;
        }
        writeAnswer(
            trace,
            flags["json"] === true,
            ({ events }) => events.forEach(({ atS, text }) => writeLine(`${atS.toFixed(1).padStart(8)} s  ${text}`)),
        );
        return ExitCode.Done;
    },
});

function writeDrawing(file: string, svg: string): boolean {
    try {
        writeFileSync(file, svg);
        return true;
    }
    catch (error) {
        writeError(`${file} can't be written: ${String(error)}`);
        return false;
    }
}
