import { Args } from "@oclif/core";
import { callAndPrint } from "../callAndPrint";
import { entryFlags } from "../callEntry";
import { defineCommand } from "../defineCommand";
import { writeJson, writeTable } from "../output";

const topics = ["pools", "instances", "teams", "limits", "waves", "plans", "entries", "state"] as const;

/** `samphirepin show`: the present state of the fleet. */
export const show = defineCommand({
    id: "show",
    summary: `show ${topics.slice(0, -1).join(", ")} or the whole state`,
    flags: entryFlags,
    args: { topic: Args.string({ description: "what to show", required: true, options: [...topics] }) },
    examples: ["show pools", "show entries", "show state --json"],
    run: ({ flags, args }) =>
        callAndPrint(
            flags,
            { method: "GET", path: `/operator/${args["topic"]}` },
            (answer) => Array.isArray(answer) ? writeTable(answer) : writeJson(answer),
        ),
});
