import { readSettings } from "../../settings";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { settingFlags, writeSettingsProblems } from "../settingFlags";

/** `samphirepin entry`: runs the daemon. */
export const entry = defineCommand({
    id: "entry",
    summary: "run the daemon of this entry instance",
    description: "Runs until SIGTERM or SIGINT, then lets running tasks end. Every flag has an environment variable.",
    flags: settingFlags,
    examples: [
        "entry --instance entry-a1 --region north --zone zone-a --platform-url http://10.0.0.5:7000",
        "entry --help",
    ],
    run: ({ flags }) =>
        readSettings(flags, process.env).caseOf({
            Left: (problems) => {
                writeSettingsProblems(problems);
                return Promise.resolve<ExitCode>(ExitCode.Usage);
            },
            Right: async ({ settings }) => {
                // Loaded lazily, so that operators' commands start without loading the daemon's libraries.
                const { createEntry } = await import("../../entry");
                const daemon = createEntry(settings);
                await daemon.start();
                await waitForStopSignal();
                await daemon.stop();
                return ExitCode.Done;
            },
        }),
});

function waitForStopSignal(): Promise<void> {
    return new Promise((resolve) => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
