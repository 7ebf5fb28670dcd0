/** A way to decide; without a patch it is the one that stands. */
export interface Variant {
    readonly name: string;
    /** What the patch of the same name under `variants/` changes; `undefined`: the code as it is. */
    readonly summary: string;
    readonly isStanding: boolean;
}

/** One decision of the scheduler and the ways to make it that have been compared. */
export interface Decision {
    readonly name: string;
    readonly question: string;
    readonly variants: readonly Variant[];
}

const stands = (name: string, summary: string): Variant => ({ name, summary, isStanding: true });
const patched = (name: string, summary: string): Variant => ({ name, summary, isStanding: false });

/** Figures of the comparisons stand in docs/design. */
export const decisions: readonly Decision[] = [
    {
        name: "order",
        question: "which waiting submission of a queue gets room first",
        variants: [
            stands("least-work", "those that can be in time, least remaining work before more"),
            patched("timely-by-slack", "as many as can be in time together, by the time that they have left"),
            patched("least-slack", "those that can be in time, by the time that they have left"),
        ],
    },
];

/** The file of a variant's patch, relative to the repository. */
export function patchFile(decision: Decision, variant: Variant): string {
    return `bench/decide/variants/${decision.name}.${variant.name}.patch`;
}
