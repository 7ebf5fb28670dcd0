import type { Plan } from "../plans";
import { writeLine } from "./output";

/** Writes a plan as an operator reads it before confirming. */
export function writePlan(plan: Plan): void {
    writeLine(`plan ${plan.id}, made at revision ${plan.madeAtRevision}`);
    writeList("steps", plan.steps);
    writeList("cannot be met", plan.refusals);
    writeLine(
        plan.refusals.length === 0 ? `confirm with: samphirepin confirm ${plan.id}` : "this plan cannot be confirmed",
    );
}

function writeList(title: string, lines: readonly string[]): void {
    if (lines.length > 0) {
        writeLine(`${title}:`);
        lines.forEach((line, at) => writeLine(`  ${at + 1}. ${line}`));
    }
}
