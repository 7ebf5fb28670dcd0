import { Args } from "@oclif/core";
import { explainSubmission, readLogLines, renderLogLine } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeAnswer, writeLine } from "../output";

/** `samphirepin explain`: what the logs tell of one submission. */
export const explain = defineCommand({
    id: "explain",
    summary: "tell from the logs what happened to a submission",
    description:
        "Prints every line about it and its tasks in order of time, and beside them changes of the duty, evacuations, "
        + "lost stores and workers.",
    flags: logFlags,
    args: { submission: Args.string({ description: "id of the submission", required: true }) },
    examples: ["explain 5c0e7a21d94b36f8 --log entry-a1.log entry-b1.log"],
    async run({ flags, args }) {
        const id = args["submission"] ?? "";
        const told = explainSubmission(await readLogLines(flags["log"] as string[]), id);
        writeAnswer(told, flags["json"] === true, ({ own, around, story }) => {
            story.forEach((line) => writeLine(renderLogLine(line)));
            writeLine(`${own.length} lines of ${id}, ${around.length} around it`);
        });
        return ExitCode.Done;
    },
});
