/** Exit codes of every command. */
export const ExitCode = {
    Done: 0,
    /** The entry refused the request; the printed problem gives the reason. */
    Refused: 1,
    /** The command line, a file or a setting is invalid; nothing was sent. */
    Usage: 2,
    /** No entry answered. */
    Unreachable: 3,
    /** The outcome is unknown; check the state before a retry. */
    Unknown: 4,
    /** The change was accepted but is not yet in force everywhere. */
    NotInForce: 5,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
