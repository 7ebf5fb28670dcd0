import { readFileSync } from "node:fs";

/** What the kernel has counted for a process. */
export interface ProcessUse {
    readonly processorMs: number;
    readonly residentMb: number;
}

/** Ticks of the kernel's clock in a second, the same on every Linux that this runs on. */
const ticksPerSecond = 100;
const userTicksAt = 11;
const kernelTicksAt = 12;

export function readProcess(pid: number): ProcessUse {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTicksAt]) + Number(fields[kernelTicksAt]);
    const resident = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return { processorMs: ticks * 1000 / ticksPerSecond, residentMb: Number(resident?.[1] ?? 0) / 1024 };
}
