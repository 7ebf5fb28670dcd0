import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { deflateRawSync } from "node:zlib";
import type { FleetState } from "../../src/state";
import { createEmptyState } from "../../src/state";

export interface FleetSize {
    readonly instances: number;
    readonly pools: number;
    readonly teams: number;
}

/** A fleet of one size, with one key for each team. */
export function createFleetState({ instances, pools, teams }: FleetSize): FleetState {
    const size = { processors: 32, memoryMb: 128_000, accelerators: 2 };
    const names = (prefix: string, count: number) => Array.from({ length: count }, (_, at) => `${prefix}-${at}`);
    const poolNames = names("pool", pools);
    return {
        ...createEmptyState(),
        revision: 6600,
        pools: Object.fromEntries(poolNames.map((name) => [name, { name, maxUnavailable: 2 }])),
        teams: Object.fromEntries(
            names("team", teams).map((name, at) => [name, {
                name,
                weight: 1 + at % 7,
                limit: { ...size, tasks: 100 },
                pools: poolNames.slice(0, 5),
                keys: { [`key-${at}`]: { hash: fakeHash(at), grantedAtMs: 1_800_000_000_000 + at } },
            }]),
        ),
        instances: Object.fromEntries(
            names("worker", instances).map((name, at) => [name, {
                name,
                url: `http://10.${at >> 16}.${at >> 8 & 255}.${at & 255}:8080`,
                region: `region-${at % 2}`,
                zone: `zone-${at % 4}`,
                rack: `rack-${at >> 2}`,
                slots: 8,
                capacity: size,
                pool: poolNames[at % pools] ?? "",
                assignmentNumber: 1 + at % 5,
                state: { kind: "serving" },
            }]),
        ) as FleetState["instances"],
    };
}

/** Sixty-four hexadecimal digits without a pattern that a compressor could use. */
function fakeHash(seed: number): string {
    let value = seed + 1;
    const digit =
        () => (value = Math.imul(value ^ value >>> 15, 0x2c1b3c6d) + 0x9e3779b9 | 0, (value >>> 28).toString(16));
    return Array.from({ length: 64 }, digit).join("");
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Bytes of a state as JSON and compressed, and the memory that one copy takes. */
export function measureState(size: FleetSize) {
    const text = JSON.stringify(createFleetState(size));
    const startedAtMs = performance.now();
    const packed = deflateRawSync(text).toString("base64");
    const packMs = performance.now() - startedAtMs;
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const copies = Array.from({ length: 4 }, () => JSON.parse(text) as FleetState);
    collectGarbage();
    const heapKb = (process.memoryUsage().heapUsed - before) / copies.length / 1024;
    return {
        jsonKb: round(text.length / 1024),
        storedKb: round(packed.length / 1024),
        packMs: round(packMs),
        heapKb: round(heapKb),
    };
}

export function round(value: number): number {
    return Math.round(value * 100) / 100;
}
