import type { Resources } from "../resources";
import type { Board } from "./board";

/**
 * Whether a client account may have more tasks of a size running, by its limit over all workers.
 *
 * @param cap the account's limit; 0 in a dimension: none; `undefined`: none at all
 */
export function hasTenantRoom(
    { tenantUse }: Board,
    tenant: string | undefined,
    cap: Resources | undefined,
    size: Resources,
    count = 1,
): boolean {
    if (tenant === undefined || cap === undefined) {
        return true;
    }
    const use = tenantUse.get(tenant) ?? { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    const isBelow = (used: number, each: number, most: number) => most === 0 || used + each * count <= most;
    return isBelow(use.cpuMillis, size.cpuMillis, cap.cpuMillis)
        && isBelow(use.memoryMb, size.memoryMb, cap.memoryMb)
        && isBelow(use.accelerators, size.accelerators, cap.accelerators);
}
