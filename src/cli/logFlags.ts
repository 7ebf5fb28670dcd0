import { Flags } from "@oclif/core";

/** Log files of the entries, for commands that read them. */
export const logFlags = {
    log: Flags.string({ description: "log files of all entries", multiple: true, required: true }),
    json: Flags.boolean({ description: "print JSON" }),
};
