import { Command, type Config, type Interfaces } from "@oclif/core";
import type { ExitCode } from "./exitCode";

type Flags = Interfaces.FlagInput;
type Args = Interfaces.ArgInput;

/** What a command's handler is given: its flags and arguments, already parsed. */
export interface Invocation {
    // eslint-disable-next-line @typescript-eslint/no-explicit-any -- each handler knows the flags that it declared
    readonly flags: Record<string, any>;
    readonly args: Readonly<Record<string, string | undefined>>;
}

export interface CommandSpec {
    /** Words of the command, such as `key grant`. */
    readonly id: string;
    readonly summary: string;
    readonly description?: string;
    readonly flags?: Flags;
    readonly args?: Args;
    /** Each as a line that can be typed, without the program's name. */
    readonly examples: readonly string[];
    run(invocation: Invocation): Promise<ExitCode>;
}

/** A command as the program's table of commands holds it. */
export interface DefinedCommand {
    readonly id: string;
    readonly summary: string;
    readonly command: new(argv: string[], config: Config) => Command;
    readonly flags: Flags;
    readonly args: Args;
    readonly description: string;
    readonly examples: readonly string[];
}

/** Makes an oclif command out of its parts. */
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
