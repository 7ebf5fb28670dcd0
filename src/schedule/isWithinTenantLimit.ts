import type { Resources } from "../resources";
import type { SchedulerState } from "./schedulerState";

/**
 * Whether a client account may run `count` more tasks of a size within its limit over all workers.
 *
 * @param cap the account's limit; 0 in a dimension: no limit there; `undefined`: no limit at all
 */
export function isWithinTenantLimit(
    { tenantUse }: SchedulerState,
    tenant: string | undefined,
    cap: Resources | undefined,
    size: Resources,
    count = 1,
): boolean {
    if (tenant === undefined || cap === undefined) {
        return true;
    }
    const use = tenantUse.get(tenant) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    const isWithin = (used: number, each: number, limit: number) => limit === 0 || used + each * count <= limit;
    return isWithin(use.cpuMillis, size.cpuMillis, cap.cpuMillis)
        && isWithin(use.memoryMb, size.memoryMb, cap.memoryMb)
        && isWithin(use.accelerators, size.accelerators, cap.accelerators);
}
