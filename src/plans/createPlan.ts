import { createHash } from "node:crypto";
import {
    applyCommand,
    type ConfirmedPlan,
    digestTouched,
    type FleetState,
    type PlanPolicy,
    writeCanonically,
} from "../state";
import { describePlan } from "./describePlan";
import { draftChanges, draftMerges, draftWave } from "./draftChanges";
import { draftSizes } from "./draftSizes";
import { estimatePlan } from "./estimatePlan";
import type { Intent } from "./intent";
import type { Plan } from "./plan";
import { createPlanDraft, type PlanDraft } from "./planDraft";

const idLength = 16;
const fourWeeksMs = 28 * 24 * 3600 * 1000;

/**
 * Plans how to bring the state to the intent.
 * The id is a digest of what would be done: the same intent at the same revision is the same plan, whoever makes it.
 */
export function createPlan(state: FleetState, intent: Intent, madeAtRevision = state.revision): Plan {
    const draft = createPlanDraft();
    draftChanges(state, intent, draft);
    draftMerges(state, intent, draft);
    draftSizes(state, intent, draft);
    draftWave(state, intent, draft);
    const { effects, estimatedMs } = estimatePlan(state, intent, draft);
    const work = Object.fromEntries(draft.work);
    for (const { pool, takenOut, mostOut, maxUnavailable, reserve } of effects) {
        if (takenOut > 0 && mostOut === 0) {
            draft.refusals.push(`pool ${pool} may have nothing out: budget ${maxUnavailable}, reserve ${reserve}`);
        }
    }
    const content: Omit<ConfirmedPlan, "id"> = {
        madeAtRevision,
        reason: intent.reason,
        touches: Object.fromEntries([...draft.touches].sort().map((each) => [each, digestTouched(state, each)])),
        changes: draft.changes,
        work,
        afterwards: draft.afterwards,
        policy: createPolicy(intent),
    };
    const id = createHash("sha256").update(writeCanonically(content)).digest("hex").slice(0, idLength);
    checkWindow(intent, estimatedMs, draft);
    checkAgainstState(state, { id, ...content }, draft);
    return {
        id,
        ...content,
        intent,
        steps: describePlan(draft),
        effects,
        bufferSlots: effects.reduce((sum, { slotsBefore, slotsAfter }) => sum + slotsAfter - slotsBefore, 0),
        moves: [...draft.work.values()].filter(({ kind }) => kind === "move").length,
        fewestMoves: draft.fewestMoves,
        estimatedMs,
        refusals: draft.refusals,
        notes: draft.notes,
    };
}

function createPolicy({ policy, wave }: Intent): PlanPolicy {
    if (wave?.notBefore === undefined && wave?.notAfter === undefined) {
        return policy;
    }
    const startMs = wave.notBefore === undefined ? 0 : Date.parse(wave.notBefore);
    const endMs = wave.notAfter === undefined ? Number.MAX_SAFE_INTEGER : Date.parse(wave.notAfter);
    return { ...policy, window: { startMs, endMs } };
}

function checkWindow(intent: Intent, estimatedMs: number, draft: PlanDraft): void {
    const { window } = createPolicy(intent);
    const lengthMs = window === undefined ? Number.POSITIVE_INFINITY : window.endMs - window.startMs;
    const hours = (ms: number) => `${(ms / 3_600_000).toFixed(1)} h`;
    if (estimatedMs > lengthMs) {
        draft.refusals.push(`the work takes about ${hours(estimatedMs)}, its window is ${hours(lengthMs)}`);
    }
    if (intent.wave !== undefined) {
        const fits = estimatedMs <= fourWeeksMs ? "fits" : "does not fit";
        draft.notes.push(`the wave takes about ${hours(estimatedMs)} and ${fits} into 4 weeks`);
    }
}

function checkAgainstState(state: FleetState, plan: ConfirmedPlan, draft: PlanDraft): void {
    const record = { id: "trial", by: "trial", atMs: 0, reason: "", command: { kind: "confirmPlan", plan } } as const;
    applyCommand({ ...state, plansForgottenRevision: 0 }, record).ifLeft(({ detail }) => draft.refusals.push(detail));
}
