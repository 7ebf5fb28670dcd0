import { readSettings } from "../settings";

const usage = "usage: samphirepin entry [flags] | --version | --help\n";

/** A thin dispatcher until the oclif commands stand. */
export async function runCommand(argv: readonly string[]): Promise<number> {
    switch (argv[0]) {
        case "--version":
            process.stdout.write(`samphirepin ${process.env["SAMPHIREPIN_VERSION"] ?? "development"}\n`);
            return 0;
        case "--help":
            process.stdout.write(usage);
            return 0;
        case "entry":
            return runEntry(argv.slice(1));
        default:
            process.stderr.write(usage);
            return 2;
    }
}

async function runEntry(argv: readonly string[]): Promise<number> {
    const flags = Object.fromEntries(
        argv.flatMap((arg, at, all) => arg.startsWith("--") ? [[arg.slice(2), all[at + 1]]] : []),
    );
    const { createEntry } = await import("../entry");
    return readSettings(flags, process.env).caseOf({
        Left: (problems) => {
            problems.forEach(({ flag, variable, message }) =>
                process.stderr.write(`${flag} (${variable}): ${message}\n`)
            );
            return Promise.resolve(2);
        },
        Right: async ({ settings }) => {
            const entry = createEntry(settings);
            await entry.start();
            await new Promise((resolve) => process.once("SIGTERM", resolve));
            await entry.stop();
            return 0;
        },
    });
}
