/** What a standby has observed of the leader's heartbeats. */
export interface StandbyReport {
    readonly boot: string;
    readonly zone: string;
    /** Time since the standby last received a heartbeat of the leader, in milliseconds; `undefined` if it never did. */
    readonly silentMs: number | undefined;
}

export interface LeaderLossEvidence {
    /** Zone of the standby that decides, which has received no heartbeat for longer than the others have to report. */
    readonly ownZone: string;
    /** Reports of the other standbys that answered. */
    readonly answers: readonly StandbyReport[];
    /** Number of availability zones in which entries are up, the leader's included. */
    readonly fleetZones: number;
}

/**
 * - `lost`: the leader counts as lost.
 * - `heard`: another standby receives its heartbeats, so a single link or this entry has failed.
 * - `tooFew`: too few standbys confirm the silence, so this entry's own zone may be the one that is cut off.
 */
export interface LeaderLossVerdict {
    readonly kind: "lost" | "heard" | "tooFew";
    /** Number of standbys that observe silence, this one included, and of the zones that they are in. */
    readonly silentStandbys: number;
    readonly silentZones: number;
}

/**
 * Silence that another standby has to report, in milliseconds. It is less than the silence after which a standby asks,
 * because the last heartbeat reaches the standbys at slightly different times.
 */
const confirmSilenceMs = 400;

/**
 * Decides whether the leader is lost, from the silence that the standbys observe.
 *
 * The silent standbys must be in at least two zones: a standby whose own zone is cut off finds no second one. In a fleet
 * with one zone they must be two entries. A standby that has never received a heartbeat is no evidence either way: its
 * link to the leader may never have worked.
 */
export function judgeLeaderLoss({ ownZone, answers, fleetZones }: LeaderLossEvidence): LeaderLossVerdict {
    const silent = answers.filter(({ silentMs }) => silentMs !== undefined && silentMs >= confirmSilenceMs);
    const counts = {
        silentStandbys: silent.length + 1,
        silentZones: new Set([ownZone, ...silent.map(({ zone }) => zone)]).size,
    };
    if (answers.some(({ silentMs }) => silentMs !== undefined && silentMs < confirmSilenceMs)) {
        return { kind: "heard", ...counts };
    }
    const isConfirmed = fleetZones > 1 ? counts.silentZones >= 2 : counts.silentStandbys >= 2;
    return { kind: isConfirmed ? "lost" : "tooFew", ...counts };
}
