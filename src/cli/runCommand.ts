import { CommandHelp, Errors } from "@oclif/core";
import { commands } from "./commands";
import { createConfig, version } from "./createConfig";
import type { DefinedCommand } from "./defineCommand";
import { ExitCode } from "./exitCode";
import { writeError, writeLine } from "./output";

const helpWidth = 100;

/** Runs the command that `argv` names and returns its exit code. */
export async function runCommand(argv: readonly string[]): Promise<ExitCode> {
    if (argv[0] === "--version" || argv[0] === "-v") {
        writeLine(`samphirepin ${version}`);
        return ExitCode.Done;
    }
    const found = findCommand(argv);
    if (found === undefined) {
        return runWithoutCommand(argv);
    }
    const rest = argv.slice(found.id.split(" ").length);
    if (rest.includes("--help") || rest.includes("-h")) {
        writeLine(formatHelp(found));
        return ExitCode.Done;
    }
    return runFound(found, rest);
}

async function runFound({ id, command }: DefinedCommand, argv: readonly string[]): Promise<ExitCode> {
    try {
        return await new command([...argv], createConfig()).run() as ExitCode;
    }
    catch (error) {
        if (error instanceof Errors.CLIError) {
            writeError(`${error.message}\nSee: samphirepin ${id} --help`);
            return ExitCode.Usage;
        }
        throw error;
    }
}

/** Finds the longest command name that the command line begins with. */
function findCommand(argv: readonly string[]): DefinedCommand | undefined {
    return commands
        .filter(({ id }) => id.split(" ").every((word, index) => argv[index] === word))
        .sort((a, b) => b.id.length - a.id.length)[0];
}

function runWithoutCommand(argv: readonly string[]): ExitCode {
    const isHelp = argv.length === 0 || argv[0] === "--help" || argv[0] === "-h" || argv[0] === "help";
    if (isHelp) {
        writeLine(formatRootHelp());
        return ExitCode.Done;
    }
    writeError(`unknown command ${argv.filter((word) => !word.startsWith("-")).join(" ")}\n\n${formatRootHelp()}`);
    return ExitCode.Usage;
}

function formatRootHelp(): string {
    const width = Math.max(...commands.map(({ id }) => id.length));
    const lines = commands.map(({ id, summary }) => `  ${id.padEnd(width)}  ${summary}`);
    return [
        "samphirepin: fleet capacity and maintenance manager",
        "",
        "USAGE",
        "  $ samphirepin COMMAND [flags]",
        "  $ samphirepin COMMAND --help",
        "",
        "COMMANDS",
        ...lines,
        "",
        "ENVIRONMENT",
        "  SAMPHIREPIN_ENTRIES     addresses of entries, separated by commas; the first that answers is used",
        "  SAMPHIREPIN_CREDENTIAL  the operator credential",
        "",
        "EXIT CODES",
        "  0 done · 1 refused · 2 invalid usage, file or setting · 3 no entry answered · 4 outcome unknown",
        "  5 accepted, not yet in force everywhere",
    ].join("\n");
}

function formatHelp({ id, summary, description, flags, args, examples }: DefinedCommand): string {
    // The help class expects a command in oclif's cached form, in which each flag and argument carries its own name.
    const cached = {
        id,
        description,
        flags: withNames(flags),
        args: withNames(args),
        examples: examples.map((example) => `<%= config.bin %> ${example}`),
        aliases: [],
        hiddenAliases: [],
        strict: true,
    };
    const help = new CommandHelp(
        cached as unknown as ConstructorParameters<typeof CommandHelp>[0],
        createConfig(),
        { maxWidth: helpWidth, stripAnsi: true } as ConstructorParameters<typeof CommandHelp>[2],
    );
    return `${summary}\n\n${help.generate()}`;
}

function withNames<T extends object>(parts: Readonly<Record<string, T>>): Record<string, T & { name: string; }> {
    return Object.fromEntries(Object.entries(parts).map(([name, part]) => [name, { ...part, name }]));
}
