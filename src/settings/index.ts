/** Settings of the daemon, read from flags and environment variables and checked together. */
export { flagName, readSettings, type ResolvedSettings, type SettingsProblem, variableName } from "./readSettings";
export { type SettingOrigin, type Settings, type SettingSpec, settingSpecs } from "./settingSpecs";
