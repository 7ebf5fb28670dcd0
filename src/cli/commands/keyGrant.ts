import { Args } from "@oclif/core";
import { awaitInForce, waitFlags } from "../awaitInForce";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand } from "../defineCommand";
import { writeLine } from "../output";

/** `samphirepin key grant`: creates a key for a team and prints it once. */
export const keyGrant = defineCommand({
    id: "key grant",
    summary: "grant a new key to a team; it is shown once",
    flags: { ...entryFlags, ...waitFlags },
    args: { team: Args.string({ description: "name of the team", required: true }) },
    examples: ["key grant stables"],
    run: ({ flags, args }) =>
        callAndPrint(
            flags,
            { method: "POST", path: "/operator/keys", body: { team: args["team"] } },
            ({ keyId, key }: { keyId: string; key: string; revision: number; }) => {
                writeLine(`key ${keyId} (use this id to withdraw it):`);
                writeLine(key);
            },
            ({ revision }) => awaitInForce(flags, revision),
        ),
});
