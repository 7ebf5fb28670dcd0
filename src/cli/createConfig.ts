import { Config } from "@oclif/core";

/** Version of this build; the build puts it in. */
export const version = process.env["SAMPHIREPIN_VERSION"] ?? "0.0.0-development";

/**
 * The configuration that oclif's parser and help need, made without a look at the disk:
 * in the one-file program there is no folder of commands to discover.
 */
export function createConfig(): Config {
    const config = new Config({ root: __dirname });
    const pjson = { name: "samphirepin", version, oclif: { bin: "samphirepin" } };
    const runHook = () => Promise.resolve({ failures: [], successes: [] });
    return Object.assign(config, { runHook, pjson, name: pjson.name, version, bin: pjson.oclif.bin, theme: undefined });
}
