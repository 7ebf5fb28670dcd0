/** The log of accepted commands in the platform's service, followed by every entry. */
export type { AppendFailure, Configuration, ConfigurationOptions } from "./configuration";
export { createConfiguration } from "./createConfiguration";
