/** The replicated log of accepted commands. It is stored in the platform's service and applied by every entry. */
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
