/** Resolves after a time of the runtime's clock, in milliseconds. */
export function pause(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
}
