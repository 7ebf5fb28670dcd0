import crypto, { type UUID } from "node:crypto";
import { createRandom } from "../standins/random";

const hexDigits = 16;
const largest = 0x7fffffff;

/** Makes every random choice of the code under test follow the seed, so that a cell is the same run each time. */
export function seedRandomness(seed: number): { restore(): void; } {
    const random = createRandom(seed);
    const kept = { random: Math.random, randomUUID: crypto.randomUUID };
    const hex = (count: number) =>
        Array.from({ length: count }, () => random.int(0, hexDigits - 1).toString(hexDigits)).join("");
    Math.random = () => random.int(0, largest - 1) / largest;
    crypto.randomUUID = () => `${hex(8)}-${hex(4)}-4${hex(3)}-8${hex(3)}-${hex(12)}` as UUID;
    return {
        restore() {
            Math.random = kept.random;
            crypto.randomUUID = kept.randomUUID;
        },
    };
}
