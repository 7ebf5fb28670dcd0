import { readFileSync } from "node:fs";

const kilobytesPerMegabyte = 1024;

/** Resident memory of a process, in megabytes, from the kernel's own account. */
export function readResidentMb(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / kilobytesPerMegabyte;
}
