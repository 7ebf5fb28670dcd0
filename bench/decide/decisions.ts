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
    {
        name: "sizes",
        question: "what the large submissions of a full queue get",
        variants: [
            stands("share-of-queue", "the share of their queue, for the largest tenth and the fifth below it"),
            patched("none", "what smaller ones leave"),
        ],
    },
    {
        name: "demand",
        question: "what a pool needs machines for",
        variants: [
            stands("all", "all open work and what arrives"),
            patched("within-limits", "as much of it as client accounts may have running by their limits"),
        ],
    },
    {
        name: "machines",
        question: "which pool gets the next idle machine",
        variants: [
            stands("largest-shortage", "the one that lacks most processors"),
            patched("no-place-first", "those with tasks that have no place on any worker, then the largest shortage"),
        ],
    },
    {
        name: "waves",
        question: "how long a serving task that moves for a wave is away, as the wave reckons it",
        variants: [
            stands("short", "a stop and a second"),
            patched("looked-at", "a stop and two seconds, and lists each 0.4 s while such a task starts up"),
        ],
    },
    {
        name: "duty-lease",
        question: "how long the lease of the duty runs",
        variants: [
            stands("two-seconds", "an owner that is lost is missed for up to 2 s; short outages end no tenure"),
            patched("short", "1.2 s"),
        ],
    },
    {
        name: "zones",
        question: "whether the tasks of a submission keep to one availability zone",
        variants: [
            stands("one", "where the zone has room; a submission then waits for leases to run out in one zone at most"),
            patched("any", "the fullest worker, wherever it is"),
        ],
    },
    {
        name: "room",
        question: "how much room a pool gets for each processor that it needs",
        variants: [
            stands("a-fifth-more", "1.2 times"),
            patched("two-fifths-more", "1.4 times"),
        ],
    },
    {
        name: "looks",
        question: "how long the ends of one worker are gathered before it is looked at again",
        variants: [
            stands("short", "25 ms: room is found free sooner"),
            patched("long", "75 ms: fewer calls"),
        ],
    },
    {
        name: "failover",
        question: "when a standby replaces a leader that it no longer receives heartbeats of",
        variants: [
            stands("on-evidence", "when standbys of two zones observe the silence"),
            patched("by-lease", "never: leadership passes on when the leader's lease ends"),
        ],
    },
    {
        name: "copy",
        question: "which entry keeps a copy of what a new leader reads",
        variants: [
            stands("designated", "the standby that takes over first"),
            patched("none", "no entry; a new leader reads the store"),
        ],
    },
    {
        name: "rates",
        question: "which submissions are conforming",
        variants: [
            stands("by-weight", "those within the rate of their client account"),
            patched("none", "all, so that none is ranked last or refused for load as excess"),
        ],
    },
    {
        name: "starts",
        question: "how the window of starts in flight is divided over the pools",
        variants: [
            stands("by-pool", "an equal share each, and what a pool leaves by rank"),
            patched("by-rank", "by rank alone"),
        ],
    },
    {
        name: "entitlements",
        question: "which pool gets machines while the pools need more than there are",
        variants: [
            stands("max-min", "the one farthest below its entitlement; machines above an entitlement are reclaimed"),
            patched("none", "the one that lacks most processors; no machine is reclaimed"),
        ],
    },
    {
        name: "admission",
        question: "which submissions are refused for load",
        variants: [
            stands("late-excess", "those beyond their account's rate that would be late"),
            patched("none", "none"),
        ],
    },
    {
        name: "store-loss",
        question: "when an entry that the store doesn't answer says so",
        variants: [
            stands("probed", "at once, after a call and a probe without an answer"),
            patched("none", "at the deadline of each request"),
        ],
    },
    {
        name: "commits",
        question: "how many commits of progress are in flight",
        variants: [
            stands("by-answer-time", "4 while the store is fast, up to 24 in proportion to its answer time"),
            patched("four", "4"),
        ],
    },
];

/** The file of a variant's patch, relative to the repository. */
export function patchFile(decision: Decision, variant: Variant): string {
    return `bench/decide/variants/${decision.name}.${variant.name}.patch`;
}
