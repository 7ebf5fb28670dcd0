/** The log of accepted commands in the platform's service, followed by every entry. */
export type {
    AppendFailure,
    AppendRequest,
    Configuration,
    ConfigurationOptions,
    InForce,
    Isolation,
    MissingEntry,
} from "./configuration";
export { createConfiguration } from "./createConfiguration";
