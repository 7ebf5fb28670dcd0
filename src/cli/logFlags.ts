import { Flags } from "@oclif/core";

/** Flags of the commands that read the entries' log files. */
export const logFlags = {
    log: Flags.string({ description: "log files of all entries", multiple: true, required: true }),
    json: Flags.boolean({ description: "print JSON" }),
};
