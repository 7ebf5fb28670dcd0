import { Args } from "@oclif/core";
import type { Plan } from "../../plans";
import { callEntry, entryFlags, reportFailure } from "../callEntry";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { writeAnswer, writeError } from "../output";
import { readIntentFile } from "../readIntentFile";
import { writePlan } from "../writePlan";

/** `samphirepin plan`: submits an intent and prints the resulting plan; nothing is changed. */
export const plan = defineCommand({
    id: "plan",
    summary: "submit an intent and print the resulting plan",
    description: "Reads a YAML or JSON file (- for standard input). Nothing changes until the plan is confirmed.",
    flags: entryFlags,
    args: { file: Args.string({ description: "file with the intent", required: true }) },
    examples: ["plan intent.yaml", "plan - --json < intent.json"],
    run: ({ flags, args }) =>
        readIntentFile(args["file"] ?? "-").caseOf({
            Left: (errors) => {
                errors.forEach(({ line, field, message }) =>
                    writeError(`${args["file"]}:${line}: ${field === "" ? "" : `${field}: `}${message}`)
                );
                return Promise.resolve<ExitCode>(ExitCode.Usage);
            },
            Right: async (intent) => {
                const answer = await callEntry(flags as never, {
                    method: "POST",
                    path: "/operator/plans",
                    body: intent,
                });
                return answer.caseOf<ExitCode>({
                    Left: (failure) => reportFailure(failure, flags["json"] === true),
                    Right: (made) => {
                        writeAnswer(made as Plan, flags["json"] === true, writePlan);
                        return ExitCode.Done;
                    },
                });
            },
        }),
});
