import { Config } from "@oclif/core";

/** Version of this build, set by the build. */
export const version = process.env["SAMPHIREPIN_VERSION"] ?? "0.0.0-development";

/**
 * Creates the configuration that oclif's parser and help need, without reading the disk: the single-file executable has
 * no folder in which commands could be discovered. `Config.load` is not
 * called, and no hooks run.
 */
export function createConfig(): Config {
    const config = new Config({ root: __dirname });
    const pjson = { name: "samphirepin", version, oclif: { bin: "samphirepin" } };
    const runHook = () => Promise.resolve({ failures: [], successes: [] });
    return Object.assign(config, { runHook, pjson, name: pjson.name, version, bin: pjson.oclif.bin, theme: undefined });
}
