/** Resolves after a timer of `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
