import type { Promised } from "./judge";

/** What is proved of a promise, by which command, and what is not. */
export interface Proof {
    readonly promise: Promised;
    readonly proved: readonly string[];
    readonly notProved: readonly string[];
}

const everywhere =
    "`npm run matrix`: the judge of this promise looks at every cell above; its own seeded defect is caught"
    + " by `npm test -- matrix`.";
const fewLoads = "loads, fleets and fault durations other than the matrix's; one load (seed 1) runs in each cell.";

export const proofs: readonly Proof[] = [
    {
        promise: "availability budget",
        proved: [
            everywhere,
            "`npm test -- executor`, `npm test -- state`: each step of a move and a wave with its faults.",
            "`npm test -- schedules`: random schedules with a judge of their own.",
            "`npm test -- test/fleet`: a move and a wave over kill -9 of the entry that carried them out, as processes.",
        ],
        notProved: [
            fewLoads,
            "a wave over thousands of instances was estimated, not run.",
            "a loss that is younger than its detection (up to 20 s) is not counted against a drain that begins meanwhile.",
        ],
    },
    {
        promise: "one pool",
        proved: [everywhere, "`npm test -- schedules`.", "`npm test -- executor`: the hand-over, step by step."],
        notProved: [
            "a worker that forgets its assignment number (a replaced disk) takes old orders until the next probe.",
            "whether other workers than the stand-ins keep to the fence; the adapter's contract asks for it.",
            "one run of pair 1.37 (a move and a wave at once, run times far off, a lagging list), before the runs' random choices were seeded, saw an instance start a task of its old pool; 144 seeded runs of the same pair did not, and the cause is not found.",
        ],
    },
    {
        promise: "keys",
        proved: [
            everywhere,
            "`npm test -- keys`, `npm test -- test/once`: a withdrawn key in the queue, and over processes.",
            "`npm run demo` prints the time until each entry refused a withdrawn key.",
        ],
        notProved: [
            "an entry that hears from neither the platform nor any peer serves known keys on (a documented default).",
        ],
    },
    {
        promise: "upper limit",
        proved: [
            everywhere,
            "`npm test -- limits`: scenarios, 80 random schedules, and a killed and a paused entry as processes.",
        ],
        notProved: [
            "10,000 schedules (`npm run bench -- limits-schedules`) have not been run to their end.",
            "a platform restored to an older division is not noticed and could give slices twice.",
            "a worker that was paused before it read an order may start it after its room was given back.",
        ],
    },
    {
        promise: "whole own answer",
        proved: [everywhere, "`npm test -- dispatch`: late, crossed and truncated answers.", "`npm test -- callers`."],
        notProved: [fewLoads],
    },
    {
        promise: "not run is true",
        proved: [
            everywhere,
            "`npm test -- once`: 200 random schedules with a judge of their own.",
            "`npm test -- dispatch`.",
        ],
        notProved: [fewLoads],
    },
    {
        promise: "at most once",
        proved: [
            everywhere,
            "`npm test -- once`: 200 random schedules; every fault at every step of a claim and of a ticket.",
            "`npm test -- test/once`: an entry killed with a payment running, as processes.",
        ],
        notProved: [
            "10,000 schedules (`npm run bench -- once`) have not been run to their end.",
            "a key that is sent again after its claim's retention counts as new (a documented limit).",
        ],
    },
    {
        promise: "leaving worker",
        proved: [
            everywhere,
            "`npm test -- dispatch`: the configuration, the list and the worker's own answer as signs.",
        ],
        notProved: [
            "at 3,600 instances the list is read less often (its bytes are budgeted), so that the list alone takes longer.",
            "a zone that hears neither the platform nor a peer learns only from the worker's own answer.",
        ],
    },
    {
        promise: "planned stop",
        proved: [
            everywhere,
            "`npm test -- executor`: a drain waits for what runs and never stops work that may not be repeated.",
        ],
        notProved: ["results of tasks that were accepted for later, and unused tickets, do not outlive their entry."],
    },
    {
        promise: "configuration",
        proved: [
            everywhere,
            "`npm test -- configuration`: scenarios, random schedules, and processes with one entry frozen and one cut off.",
        ],
        notProved: [
            "10,000 schedules (`npm run bench -- configuration`) have not been run to their end.",
            "a fresh entry that writes to a restored platform before it hears a peer makes histories diverge; that is refused"
            + " and reported, not healed.",
            "an instance taken away before any list showed it stays in the record of entries, so that \"in force everywhere\""
            + " waits for it.",
        ],
    },
];
