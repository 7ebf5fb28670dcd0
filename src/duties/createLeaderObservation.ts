/** One leader's term, as other entries know it from the store or from its heartbeats. */
export interface LeaderTerm {
    /** Boot of the leader. */
    readonly boot: string;
    /** Fencing token, which is the revision of the leader key. */
    readonly token: number;
}

/** What a standby observes of the leader's heartbeats. Times are arguments, on one clock, in milliseconds. */
export interface LeaderObservation {
    /** Takes the leader according to the store; `undefined` for none. */
    updateLeader(term: LeaderTerm | undefined, nowMs: number): void;
    /** Takes a heartbeat. Returns false if it is of a former leader. */
    recordHeartbeat(term: LeaderTerm, nowMs: number): boolean;
    /** Restarts the observation if this process has been suspended. To be called at short, regular intervals. */
    recordTick(nowMs: number): void;
    /** Time since the last heartbeat of a leader; `undefined` if none was received since the observation began. */
    silentMs(boot: string, nowMs: number): number | undefined;
    /** The leader, if it has been silent here for `thresholdMs` and may be replaced on evidence. */
    findSilentLeader(nowMs: number, thresholdMs: number): LeaderTerm | undefined;
    /** Longest silence that was observed of a leader, without the time in which this process was suspended. */
    longestSilenceMs(): number;
}

/** A gap of this length in the process's own timer counts as a suspension, in milliseconds. */
const suspendedGapMs = 250;

/** No leader is replaced on evidence for this long after a change of leaders, so that leadership does not flap. */
const settleMs = 5000;

/** Creates the state of a standby's observation. */
export function createLeaderObservation(): LeaderObservation {
    let leader: LeaderTerm | undefined;
    let leaderSinceMs = 0;
    /** Highest token known, also while there is no leader. */
    let highestToken = 0;
    let hasHeard = false;
    /** Last heartbeat since the observation began or was restarted. */
    let heardAtMs: number | undefined;
    let observedSinceMs = 0;
    let tickedAtMs: number | undefined;
    let longestMs = 0;

    function setLeader(term: LeaderTerm | undefined, nowMs: number): void {
        leader = term;
        highestToken = Math.max(highestToken, term?.token ?? 0);
        leaderSinceMs = nowMs;
        hasHeard = false;
        heardAtMs = undefined;
        observedSinceMs = nowMs;
    }

    /** Whether the process may have been suspended since the last tick, so that the time since then shows no silence. */
    function isTickOverdue(nowMs: number): boolean {
        return tickedAtMs !== undefined && nowMs - tickedAtMs > suspendedGapMs;
    }

    function measureSilence(nowMs: number): number {
        return hasHeard ? Math.max(0, nowMs - (heardAtMs ?? observedSinceMs)) : 0;
    }

    return {
        updateLeader(term, nowMs) {
            // The watch may be behind the heartbeats.
            const isOutdated = term !== undefined && term.token < highestToken;
            if (!isOutdated && term?.token !== leader?.token) {
                setLeader(term, nowMs);
            }
        },
        recordHeartbeat(term, nowMs) {
            if (term.token < highestToken) {
                return false;
            }
            if (leader?.token !== term.token) {
                setLeader(term, nowMs);
            }
            hasHeard = true;
            heardAtMs = nowMs;
            return true;
        },
        recordTick(nowMs) {
            if (isTickOverdue(nowMs)) {
                heardAtMs = undefined;
                observedSinceMs = nowMs;
            }
            tickedAtMs = nowMs;
            longestMs = Math.max(longestMs, measureSilence(nowMs));
        },
        silentMs(boot, nowMs) {
            if (leader?.boot !== boot || heardAtMs === undefined) {
                return undefined;
            }
            const silentMs = Math.max(0, nowMs - heardAtMs);
            // Requests that waited during a suspension may be handled before the tick and before the leader's heartbeats.
            return silentMs > suspendedGapMs && isTickOverdue(nowMs) ? undefined : silentMs;
        },
        findSilentLeader(nowMs, thresholdMs) {
            const isSettled = hasHeard && nowMs - leaderSinceMs >= settleMs;
            return isSettled && !isTickOverdue(nowMs) && measureSilence(nowMs) >= thresholdMs ? leader : undefined;
        },
        longestSilenceMs: () => longestMs,
    };
}
