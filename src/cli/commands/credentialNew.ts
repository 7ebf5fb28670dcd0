import { Flags } from "@oclif/core";
import { createSecret } from "../../keys";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { writeJson, writeLine } from "../output";

/** `samphirepin credential new`: creates an operator credential locally; nothing is sent. */
export const credentialNew = defineCommand({
    id: "credential new",
    summary: "create an operator credential and its hash for the entries",
    description: "Pass the hash to the entries as --operator-hash; keep the credential secret.",
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
