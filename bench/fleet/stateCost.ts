import { createPlan, intentSchema } from "../../src/plans";
import { applyCommand, type Change, type Command, createEmptyState, type FleetState, type Step } from "../../src/state";
import type { Experiment, ExperimentRow } from "../experiment";

interface Size {
    readonly instances: number;
    readonly pools: number;
    readonly teams: number;
}

const sizes: readonly Size[] = [
    { instances: 35, pools: 5, teams: 6 },
    { instances: 900, pools: 81, teams: 100 },
    { instances: 1800, pools: 162, teams: 200 },
    { instances: 3600, pools: 323, teams: 400 },
];

const measuredWaves = 60;
const keysPerTeam = 2;

/** What the state and its reducer cost by the size of the fleet; the slopes go into the capacity page. */
export const stateCost: Experiment = {
    name: "state",
    description:
        "state bytes and reducer time by instances, pools and teams; limit: a value of the platform holds 1 MB",
    run: () => Promise.resolve(sizes.map(measure)),
};

function measure(size: Size): ExperimentRow {
    const state = fill(size);
    const bytes = JSON.stringify(state).length;
    const planStartedAtMs = performance.now();
    const plan = createPlan(state, intentSchema.parse({ wave: {} }));
    const planMs = performance.now() - planStartedAtMs;
    const confirmed = apply(state, { kind: "confirmPlan", plan: pickContent(plan) });
    const steps = countStepMs(confirmed, plan.id);
    return {
        setting: `${size.instances} instances, ${size.pools} pools, ${size.teams} teams`,
        way: "ours",
        figures: {
            stateBytes: bytes,
            bytesPerInstance: Math.round(JSON.stringify(state.instances).length / size.instances),
            bytesPerPool: Math.round(JSON.stringify(state.pools).length / size.pools),
            bytesPerTeam: Math.round(JSON.stringify(state.teams).length / size.teams),
            waveCommandBytes: JSON.stringify(pickContent(plan)).length,
            stateBytesWithWave: JSON.stringify(confirmed).length,
            planMs: Number(planMs.toFixed(1)),
            msPerStep: Number(steps.toFixed(3)),
            msToParse: Number(time(() => JSON.parse(JSON.stringify(state))).toFixed(1)),
            estimatedWaveHours: Number((plan.estimatedMs / 3_600_000).toFixed(1)),
            fitsFourWeeks: plan.notes.some((note) => note.includes(" fits into 4 weeks")) ? 1 : 0,
        },
    };
}

function pickContent(plan: ReturnType<typeof createPlan>) {
    const { id, madeAtRevision, reason, touches, changes, work, afterwards, policy } = plan;
    return { id, madeAtRevision, reason, touches, changes, work, afterwards, policy };
}

/** Mean time of a step while instance after instance goes through the whole of its maintenance. */
function countStepMs(confirmed: FleetState, plan: string): number {
    let state = confirmed;
    let count = 0;
    const startedAtMs = performance.now();
    const names = Object.keys(confirmed.plans[plan]?.waiting ?? {}).slice(0, measuredWaves);
    for (const instance of names) {
        const kinds = ["beginDrain", "finishDrain", "beginReboot", "beginProving", "serve"] as const;
        for (const kind of kinds) {
            const { assignmentNumber } = state.instances[instance]!;
            const step = { kind, plan, workerBoot: "1", instance, assignmentNumber } as Step;
            state = apply(state, { kind: "steps", steps: [step] });
            count++;
        }
    }
    return (performance.now() - startedAtMs) / count;
}

function fill({ instances, pools, teams }: Size): FleetState {
    const limit = { tasks: 100, processors: 1000, memoryMb: 1_000_000, accelerators: 20 };
    const changes: Change[] = [
        ...list(pools).map((at): Change => ({ kind: "setPool", pool: { name: `pool-${at}`, maxUnavailable: 1 } })),
        ...list(instances).map((at): Change => ({
            kind: "addInstance",
            instance: {
                name: `worker-${String(at).padStart(4, "0")}`,
                url: `http://10.0.${at >> 8}.${at & 255}:8080`,
                region: at % 2 === 0 ? "north" : "south",
                zone: `zone-${at % 4}`,
                rack: `rack-${at >> 2}`,
                slots: 8,
                capacity: { processors: 32, memoryMb: 128_000, accelerators: at % 2 },
                pool: `pool-${at % pools}`,
            },
        })),
        ...list(teams).flatMap((at): Change[] => [
            { kind: "setTeam", team: { name: `team-${at}`, weight: 1, limit, pools: [`pool-${at % pools}`] } },
            ...list(keysPerTeam).map((key): Change => ({
                kind: "grantKey",
                team: `team-${at}`,
                keyId: `${at}-${key}`.padStart(12, "0"),
                key: { hash: "a".repeat(64), grantedAtMs: 1_700_000_000_000 },
            })),
        ]),
    ];
    return apply(createEmptyState(), { kind: "change", changes });
}

function apply(state: FleetState, command: Command): FleetState {
    const record = { id: "1", by: "astrid", atMs: 1_700_000_000_000, reason: "bench", command };
    return applyCommand(state, record).mapLeft(({ detail }) => {
        throw new Error(detail);
    }).unsafeCoerce();
}

function list(count: number): number[] {
    return Array.from({ length: count }, (_, at) => at);
}

function time(run: () => unknown): number {
    const startedAtMs = performance.now();
    run();
    return performance.now() - startedAtMs;
}
