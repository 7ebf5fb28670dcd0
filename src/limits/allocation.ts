/** What an allocator knows of one team, for the log. */
export interface Allocation {
    /** Revision of its copy of the ledger. */
    readonly ledgerRevision: number;
    /** Time since its last round began; `undefined` before the first. */
    readonly roundAgeMs: number | undefined;
    readonly isRoundRunning: boolean;
    /** Tasks in each boot's slice. */
    readonly slices: Readonly<Record<string, number>>;
}

export const emptyAllocation: Allocation = {
    ledgerRevision: 0,
    roundAgeMs: undefined,
    isRoundRunning: false,
    slices: {},
};
