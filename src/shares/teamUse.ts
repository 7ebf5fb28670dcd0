/** What one team uses and wants in one pool, in the whole fleet as this entry knows it. */
export interface TeamUse {
    readonly team: string;
    readonly weight: number;
    /** Part of the pool that is in use, by dominant resource. */
    readonly running: number;
    readonly runningTasks: number;
    /** Tasks that run through this entry. */
    readonly runningHere: number;
    readonly waiting: number;
    readonly waitingTasks: number;
    readonly urgentTasks: number;
    /** Those of them that wait at other entries. */
    readonly urgentElsewhere: number;
    readonly oldestAtMs: number;
}
