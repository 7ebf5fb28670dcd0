import { readNodeSettings, settingsFileVariable } from "../../platform";
import { createBufferedReporter } from "../logging";
import { createDaemon } from "./createDaemon";

/** Entry point of the daemon on the users' platform. */
async function main(): Promise<void> {
    const read = readNodeSettings(process.env[settingsFileVariable]);
    if (read.isLeft()) {
        process.stderr.write(`${read.extract().join("\n")}\n`);
        process.exit(2);
    }
    const settings = read.unsafeCoerce();
    const { report, sink } = createBufferedReporter({ level: "info", fields: { instance: settings.instance } });
    const daemon = createDaemon({ settings, report, metricsText: () => Promise.resolve("") });
    process.on("SIGTERM", () =>
        void daemon.stop().then(() => {
            sink.close();
            process.exit(0);
        }));
    process.on("SIGHUP", () => report({ kind: "note", slice: "daemon", message: "the settings have changed" }));
    await daemon.start();
}

void main();
