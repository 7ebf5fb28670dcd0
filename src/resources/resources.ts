/** What a task occupies while it runs, a machine has, or a limit bounds. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}
