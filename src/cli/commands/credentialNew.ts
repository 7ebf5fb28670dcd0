import { Flags } from "@oclif/core";
import { createSecret } from "../../keys";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { writeJson, writeLine } from "../output";

/** `samphirepin credential new`: makes an operator credential on this machine; nothing is sent. */
export const credentialNew = defineCommand({
    id: "credential new",
    summary: "make an operator credential and the hash that entries are given",
    description: "Give the hash to the entries as --operator-hash; keep the credential to yourself.",
    flags: { json: Flags.boolean({ description: "print JSON" }) },
    examples: ["credential new"],
    run: ({ flags }) => {
        const { text, hash } = createSecret();
        if (flags["json"] === true) {
            writeJson({ credential: text, hash });
        }
        else {
            writeLine(`credential: ${text}`);
            writeLine(`hash:       ${hash}`);
        }
        return Promise.resolve<ExitCode>(ExitCode.Done);
    },
});
