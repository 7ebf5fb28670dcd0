import { Command, type Config, type Interfaces } from "@oclif/core";
import type { ExitCode } from "./exitCode";

type Flags = Interfaces.FlagInput;
type Args = Interfaces.ArgInput;

/** The parsed flags and arguments that a command's handler receives. */
export interface Invocation {
    // eslint-disable-next-line @typescript-eslint/no-explicit-any -- each handler knows the flags that it declared
    readonly flags: Record<string, any>;
    readonly args: Readonly<Record<string, string | undefined>>;
}

export interface CommandSpec {
    /** Words that name the command, such as `key grant`. */
    readonly id: string;
    readonly summary: string;
    readonly description?: string;
    readonly flags?: Flags;
    readonly args?: Args;
    /** Example command lines without the program's name. */
    readonly examples: readonly string[];
    run(invocation: Invocation): Promise<ExitCode>;
}

/** A command as listed in `commands`. */
export interface DefinedCommand {
    readonly id: string;
    readonly summary: string;
    readonly command: new(argv: string[], config: Config) => Command;
    readonly flags: Flags;
    readonly args: Args;
    readonly description: string;
    readonly examples: readonly string[];
}

/** Creates an oclif command from its specification. */
export function defineCommand(spec: CommandSpec): DefinedCommand {
    const command = class extends Command {
        static override id = spec.id;
        static override summary = spec.summary;
        static override flags = spec.flags ?? {};
        static override args = spec.args ?? {};

        override async run(): Promise<ExitCode> {
            const { flags, args } = await this.parse(command);
            return spec.run({ flags, args });
        }
    };
    const { id, summary, flags = {}, args = {}, description = "", examples } = spec;
    return { id, summary, command, flags, args, description, examples };
}
