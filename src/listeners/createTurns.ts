/** Limits the work that all connections begin in one turn of the event loop, so that timers and calls go on. */
export interface Turns {
    /** Returns true if work may begin in this turn. */
    tryTake(): boolean;
    /** Calls `resume` in a later turn, after those that wait longer. */
    defer(resume: () => void): void;
}

export function createTurns(maxPerTurn: number): Turns {
    const waiting: (() => void)[] = [];
    let left = maxPerTurn;
    let isScheduled = false;

    function schedule(): void {
        if (!isScheduled) {
            isScheduled = true;
            setImmediate(beginTurn);
        }
    }

    function beginTurn(): void {
        isScheduled = false;
        left = maxPerTurn;
        // Those that find no work left to begin defer themselves again, behind the others.
        for (const resume of waiting.splice(0, maxPerTurn)) {
            resume();
        }
        if (waiting.length > 0) {
            schedule();
        }
    }

    return {
        tryTake() {
            if (left === 0) {
                return false;
            }
            left--;
            schedule();
            return true;
        },
        defer(resume) {
            waiting.push(resume);
            schedule();
        },
    };
}
