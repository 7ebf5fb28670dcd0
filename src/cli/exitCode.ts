/** Exit codes of every command. */
export const ExitCode = {
    Done: 0,
    /** The fleet refused: the reason is in the problem that is printed. */
    Refused: 1,
    /** The command line, a file or a setting is wrong; nothing was sent. */
    Usage: 2,
    /** No entry answered. */
    Unreachable: 3,
    /** The outcome is not known; look before trying again. */
    Unknown: 4,
    /** It was accepted, and is not yet in force everywhere. */
    NotInForce: 5,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
