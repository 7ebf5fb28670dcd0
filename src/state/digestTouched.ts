import { createHash } from "node:crypto";
import { indexMembers } from "./instances";
import type { FleetState } from "./state";

const digestLength = 12;

/** Digest of a thing that is not there. */
const absent = "absent";

/**
 * Digest of one thing that a plan depends on: `pool NAME`, `members NAME`, `team NAME` or `instance NAME`.
 * Health is not part of it: an instance lost and found again does not make a plan stale.
 */
export function digestTouched(state: FleetState, touched: string): string {
    const at = touched.indexOf(" ");
    const name = touched.slice(at + 1);
    switch (touched.slice(0, at)) {
        case "pool":
            return digest(state.pools[name]);
        case "members":
            return digest((indexMembers(state.instances).get(name) ?? []).map((member) => member.name).sort());
        case "team":
            return digest(state.teams[name] && { ...state.teams[name], keys: {} });
        case "instance": {
            const instance = state.instances[name];
            return digest(instance && { ...instance, state: {}, assignmentNumber: 0, maintainedAtMs: 0 });
        }
        default:
            return absent;
    }
}

function digest(value: unknown): string {
    return value === undefined
        ? absent
        : createHash("sha256").update(writeCanonically(value)).digest("hex").slice(0, digestLength);
}

/** JSON with sorted names, so that equal values have equal text. */
export function writeCanonically(value: unknown): string {
    if (Array.isArray(value)) {
        return `[${value.map(writeCanonically).join(",")}]`;
    }
    if (typeof value === "object" && value !== undefined) {
        const fields = Object.entries(value as Record<string, unknown>).filter(([, field]) => field !== undefined);
        fields.sort(([a], [b]) => a < b ? -1 : 1);
        return `{${fields.map(([name, field]) => `${JSON.stringify(name)}:${writeCanonically(field)}`).join(",")}}`;
    }
    return JSON.stringify(value);
}
