/** A task that runs again and again, one run at a time. */
export interface Loop {
    start(): void;
    /** Waits for the run that is under way. */
    stop(): Promise<void>;
}

/** Runs the work every `everyMs`; a run that takes longer delays the next. */
export function createLoop(everyMs: number, run: () => Promise<void>): Loop {
    let timer: NodeJS.Timeout | undefined;
    let current: Promise<void> = Promise.resolve();
    let isRunning = false;

    function schedule(): void {
        timer = setTimeout(() => {
            current = run().finally(() => isRunning && schedule());
        }, everyMs);
    }

    return {
        start() {
            isRunning = true;
            schedule();
        },
        stop() {
            isRunning = false;
            clearTimeout(timer);
            return current;
        },
    };
}
