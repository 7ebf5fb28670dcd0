import { Args } from "@oclif/core";
import { explainSubmission, readLogLines, renderLogLine } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeAnswer, writeLine } from "../output";

/** `samphirepin explain`: the log lines that concern one submission. */
export const explain = defineCommand({
    id: "explain",
    summary: "explain from the logs what happened to a submission",
    description:
        "Prints every line about it and its tasks in chronological order, together with changes of leadership, "
        + "evacuations, and losses of the store and of workers.",
    flags: logFlags,
    args: { submission: Args.string({ description: "id of the submission", required: true }) },
    examples: ["explain 5c0e7a21d94b36f8 --log entry-a1.log entry-b1.log"],
    async run({ flags, args }) {
        const id = args["submission"] ?? "";
        const explained = explainSubmission(await readLogLines(flags["log"] as string[]), id);
        writeAnswer(explained, flags["json"] === true, ({ own, around, story }) => {
            story.forEach((line) => writeLine(renderLogLine(line)));
            writeLine(`${own.length} lines about ${id}, ${around.length} related lines`);
        });
        return ExitCode.Done;
    },
});
