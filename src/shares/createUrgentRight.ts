/** Whether a team may have its urgent work go ahead of its turn. */
export interface UrgentRight {
    noteStart(isUrgent: boolean): void;
    isGiven(): boolean;
}

const halfLifeMs = 10_000;
const mostUrgentPart = 0.2;
/** Starts that are urgent and always allowed, so that a team which starts little has the right too. */
const alwaysAllowed = 1;

/**
 * Gives the right while at most a fifth of what the team starts is urgent. A team that marks everything urgent would
 * otherwise take every free slot and the others would fall below their shares; it loses the right and has its share.
 */
export function createUrgentRight(): UrgentRight {
    let [starts, urgentStarts] = [0, 0];
    let atMs = Date.now();

    function fade(): void {
        const nowMs = Date.now();
        const factor = 0.5 ** (Math.max(0, nowMs - atMs) / halfLifeMs);
        starts *= factor;
        urgentStarts *= factor;
        atMs = nowMs;
    }

    return {
        noteStart(isUrgent) {
            fade();
            starts++;
            urgentStarts += isUrgent ? 1 : 0;
        },
        isGiven() {
            fade();
            return urgentStarts <= starts * mostUrgentPart + alwaysAllowed;
        },
    };
}
