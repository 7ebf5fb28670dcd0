import { Flags } from "@oclif/core";
import { flagName, readSettings, variableName } from "../../settings";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { writeAnswer, writeTable } from "../output";
import { settingFlags, writeSettingsProblems } from "../settingFlags";

/** `samphirepin settings`: the settings that `samphirepin entry` would use, and the origin of each value. */
export const settings = defineCommand({
    id: "settings",
    summary: "show the effective settings and the origin of each",
    flags: { ...settingFlags, json: Flags.boolean({ description: "print JSON" }) },
    examples: ["settings --instance entry-a1 --region north --zone zone-a --platform-url http://10.0.0.5:7000"],
    run: ({ flags: { json, ...flags } }) =>
        readSettings(flags, process.env).caseOf({
            Left: (problems) => {
                writeSettingsProblems(problems);
                return Promise.resolve<ExitCode>(ExitCode.Usage);
            },
            Right: ({ settings: values, origins }) => {
                const rows = Object.entries(values).map(([setting, value]) => ({
                    setting,
                    value,
                    origin: origins[setting as keyof typeof origins],
                    flag: `--${flagName(setting)}`,
                    variable: variableName(setting),
                }));
                writeAnswer(rows, json === true, writeTable);
                return Promise.resolve<ExitCode>(ExitCode.Done);
            },
        }),
});
