import type { InstanceSpec } from "./state";

/** A rack's name in the whole fleet. */
export function nameRack({ region, zone, rack }: InstanceSpec): string {
    return `${region}/${zone}/${rack}`;
}
