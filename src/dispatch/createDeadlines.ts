/** Calls back for each member whose moment has come. */
export interface Deadlines<T> {
    add(member: T, atMs: number): void;
    remove(member: T, atMs: number): void;
    stop(): void;
}

/** Deadlines are kept to this many milliseconds. */
const stepMs = 20;

/**
 * Keeps many deadlines with one timer: members that fall into the same step share a set, so that adding and removing
 * one costs the same however many wait.
 */
export function createDeadlines<T>(onPassed: (member: T) => void): Deadlines<T> {
    const steps = new Map<number, Set<T>>();
    let doneStep = Math.floor(Date.now() / stepMs);
    let timer: NodeJS.Timeout | undefined;

    function stepOf(atMs: number): number {
        return Math.max(doneStep + 1, Math.ceil(atMs / stepMs));
    }

    function tick(): void {
        const nowStep = Math.floor(Date.now() / stepMs);
        const passed: T[] = [];
        for (; doneStep < nowStep && steps.size > 0; doneStep++) {
            passed.push(...steps.get(doneStep + 1) ?? []);
            steps.delete(doneStep + 1);
        }
        doneStep = nowStep;
        if (steps.size === 0) {
            clearInterval(timer);
            timer = undefined;
        }
        passed.forEach(onPassed);
    }

    return {
        add(member, atMs) {
            if (timer === undefined) {
                doneStep = Math.floor(Date.now() / stepMs);
                timer = setInterval(tick, stepMs);
            }
            const step = stepOf(atMs);
            const members = steps.get(step) ?? new Set();
            steps.set(step, members);
            members.add(member);
        },
        remove(member, atMs) {
            const members = steps.get(Math.ceil(atMs / stepMs));
            members?.delete(member);
            if (members?.size === 0) {
                steps.delete(Math.ceil(atMs / stepMs));
            }
        },
        stop() {
            clearInterval(timer);
            timer = undefined;
        },
    };
}
