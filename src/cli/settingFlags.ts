import { Flags, type Interfaces } from "@oclif/core";
import { flagName, settingSpecs, type SettingsProblem, variableName } from "../settings";
import { writeError } from "./output";

/** One string flag per setting. The settings' own schema validates them, so that all errors are reported together. */
export const settingFlags: Interfaces.FlagInput = Object.fromEntries(
    Object.entries(settingSpecs).map(([setting, { description, example, schema }]) => {
        const parsedDefault = schema.safeParse(undefined);
        const defaultValue = parsedDefault.success ? parsedDefault.data : undefined;
        const note = defaultValue === undefined ? `for example ${example}` : `default ${String(defaultValue)}`;
        return [flagName(setting), Flags.string({ description: `${description} (${note}; ${variableName(setting)})` })];
    }),
);

export function writeSettingsProblems(problems: readonly SettingsProblem[]): void {
    writeError(`${problems.length} invalid setting(s):`);
    problems.forEach(({ flag, variable, message }) => writeError(`  ${flag} (${variable}): ${message}`));
}
