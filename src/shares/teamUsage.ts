/** One team's usage and demand in one pool, over the whole fleet as far as this entry knows. */
export interface TeamUsage {
    readonly team: string;
    readonly weight: number;
    /** Part of the pool that the team uses, by dominant resource. */
    readonly running: number;
    readonly runningTasks: number;
    /** Running tasks that this entry started. */
    readonly runningHere: number;
    readonly waiting: number;
    readonly waitingTasks: number;
    readonly urgentTasks: number;
    /** Number of `urgentTasks` that wait at other entries. */
    readonly urgentElsewhere: number;
    readonly oldestAtMs: number;
}
