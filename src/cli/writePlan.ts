import type { Plan } from "../plans";
import { writeLine, writeTable } from "./output";

const minuteMs = 60_000;

/** Writes a plan for an operator to review before confirming it. */
export function writePlan(plan: Plan): void {
    writeLine(`plan ${plan.id}, made at revision ${plan.madeAtRevision}`);
    writeList("steps", plan.steps);
    if (plan.effects.length > 0) {
        writeLine("pools:");
        writeTable(plan.effects.map((effect) => ({ ...effect })));
    }
    writeLine(
        `moves ${plan.moves} (minimum ${plan.fewestMoves}), spare slots ${plan.bufferSlots >= 0 ? "+" : ""}`
            + `${plan.bufferSlots}, about ${Math.ceil(plan.estimatedMs / minuteMs)} min`,
    );
    writeList("notes", plan.notes);
    writeList("cannot be met", plan.refusals);
    writeLine(
        plan.refusals.length === 0 ? `confirm with: samphirepin confirm ${plan.id}` : "this plan cannot be confirmed",
    );
}

function writeList(title: string, lines: readonly string[]): void {
    if (lines.length > 0) {
        writeLine(`${title}:`);
        lines.forEach((line, index) => writeLine(`  ${index + 1}. ${line}`));
    }
}
