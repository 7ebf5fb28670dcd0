import type { CommandRecord, Step } from "../src/state";
import type { FakePlatform } from "../standins/fakes";

/** Key of the log at the platform. */
const logKey = "samphirepin/followed/log";

/** Keeps each instance's pool from the records that were written to the log, without the code under test. */
export function followAssignments(platform: FakePlatform): ReadonlyMap<string, string> {
    const pools = new Map<string, string>();
    const seen = new Set<string>();
    const targets = new Map<string, Readonly<Record<string, { kind: string; to?: string; }>>>();
    const planOf = new Map<string, string>();

    function applyStep(step: Step): void {
        if (step.kind === "beginDrain") {
            planOf.set(step.instance, step.plan);
        }
        else if (step.kind === "beginProving") {
            const target = targets.get(planOf.get(step.instance) ?? "")?.[step.instance]?.to;
            if (target !== undefined) {
                pools.set(step.instance, target);
            }
        }
    }

    function apply({ command }: CommandRecord): void {
        switch (command.kind) {
            case "change":
                command.changes.forEach((change) => {
                    if (change.kind === "addInstance") {
                        pools.set(change.instance.name, change.instance.pool);
                    }
                });
                return;
            case "confirmPlan":
                targets.set(command.plan.id, command.plan.work);
                return;
            case "steps":
                command.steps.forEach(applyStep);
                return;
            default:
                return;
        }
    }

    platform.onWrite = (_client, key, text) => {
        if (key === logKey) {
            const { records } = JSON.parse(text) as { records: readonly CommandRecord[]; };
            records.filter(({ id }) => !seen.has(id)).forEach((record) => {
                seen.add(record.id);
                apply(record);
            });
        }
    };
    return pools;
}
