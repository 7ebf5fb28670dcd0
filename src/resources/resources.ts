/** Resources that a running task occupies, that a machine provides, or that a limit allows. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}
