import { readNodeSettings, settingsFileVariable } from "../../platform";
import { createBufferedReporter, type Reporter } from "../logging";
import { createDaemon } from "./createDaemon";

/**
 * Checks a changed settings file and logs the result. The addresses and bounds in use stay until the process restarts;
 * the check shows problems of the file now and not at the next start.
 */
function reload(report: Reporter): void {
    readNodeSettings(process.env[settingsFileVariable]).caseOf({
        Left: (problems) =>
            report({
                kind: "note",
                slice: "settings",
                message: "the changed settings file has problems",
                detail: problems.join("; "),
            }),
        Right: () =>
            report({
                kind: "note",
                slice: "settings",
                message: "the settings file has changed; it takes effect at the next start",
            }),
    });
}

/** Entry point of the daemon on the users' platform. */
async function main(): Promise<void> {
    const read = readNodeSettings(process.env[settingsFileVariable]);
    if (read.isLeft()) {
        process.stderr.write(`${read.extract().join("\n")}\n`);
        process.exit(2);
    }
    const settings = read.unsafeCoerce();
    const { report, sink } = createBufferedReporter({ level: "info", fields: { instance: settings.instance } });
    const daemon = createDaemon({ settings, report, droppedLines: sink.droppedLines });
    process.on("SIGTERM", () =>
        void daemon.stop().then(() => {
            sink.close();
            process.exit(0);
        }));
    process.on("SIGHUP", () => reload(report));
    await daemon.start();
}

void main();
