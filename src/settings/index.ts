/** Settings of the daemon, from flags and environment variables, checked at once. */
export { flagName, readSettings, type SettingsInForce, type SettingsProblem, variableName } from "./readSettings";
export { type SettingOrigin, type Settings, type SettingSpec, settingSpecs } from "./settingSpecs";
