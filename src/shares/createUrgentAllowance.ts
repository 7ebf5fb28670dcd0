/** Decides whether a team's urgent tasks may start ahead of its turn. */
export interface UrgentAllowance {
    recordStart(isUrgent: boolean): void;
    isAllowed(): boolean;
}

const halfLifeMs = 10_000;
const maxUrgentPart = 0.2;
/** Urgent starts beyond the part above that are always allowed, so that a team with few starts has an allowance too. */
const alwaysAllowedStarts = 1;

/**
 * Allows urgent tasks to go first while at most a fifth of the team's recent starts is urgent. Otherwise a team that
 * marks everything urgent would take every free slot, and the others would fall below their shares. Such a team loses
 * the allowance and gets its share.
 */
export function createUrgentAllowance(): UrgentAllowance {
    let [starts, urgentStarts] = [0, 0];
    let atMs = Date.now();

    function decay(): void {
        const nowMs = Date.now();
        const factor = 0.5 ** (Math.max(0, nowMs - atMs) / halfLifeMs);
        starts *= factor;
        urgentStarts *= factor;
        atMs = nowMs;
    }

    return {
        recordStart(isUrgent) {
            decay();
            starts++;
            urgentStarts += isUrgent ? 1 : 0;
        },
        isAllowed() {
            decay();
            return urgentStarts <= starts * maxUrgentPart + alwaysAllowedStarts;
        },
    };
}
