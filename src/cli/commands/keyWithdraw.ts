import { Args } from "@oclif/core";
import { awaitInForce, waitFlags } from "../awaitInForce";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand } from "../defineCommand";
import { writeLine } from "../output";

/** `samphirepin key withdraw`: makes a key invalid. */
export const keyWithdraw = defineCommand({
    id: "key withdraw",
    summary: "withdraw a key by its id",
    flags: { ...entryFlags, ...waitFlags },
    args: { key: Args.string({ description: "id of the key", required: true }) },
    examples: ["key withdraw 3fa94c0d11e2"],
    run: ({ flags, args }) =>
        callAndPrint(
            flags,
            { method: "DELETE", path: `/operator/keys/${encodeURIComponent(args["key"] ?? "")}` },
            ({ keyId, revision }: { keyId: string; revision: number; }) =>
                writeLine(`withdrew key ${keyId} at revision ${revision}`),
            ({ revision }) => awaitInForce(flags, revision),
        ),
});
