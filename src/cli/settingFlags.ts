import { Flags, type Interfaces } from "@oclif/core";
import { flagName, settingSpecs, type SettingsProblem, variableName } from "../settings";
import { writeError } from "./output";

/** One flag for each setting; the settings' own schema checks them, so that all errors are told at once. */
export const settingFlags: Interfaces.FlagInput = Object.fromEntries(
    Object.entries(settingSpecs).map(([setting, { description, example, schema }]) => {
        const byDefault = schema.safeParse(undefined);
        const fallback = byDefault.success ? byDefault.data : undefined;
        const note = fallback === undefined ? `such as ${example}` : `default ${String(fallback)}`;
        return [flagName(setting), Flags.string({ description: `${description} (${note}; ${variableName(setting)})` })];
    }),
);

export function writeSettingsProblems(problems: readonly SettingsProblem[]): void {
    writeError(`${problems.length} setting(s) cannot be used:`);
    problems.forEach(({ flag, variable, message }) => writeError(`  ${flag} (${variable}): ${message}`));
}
