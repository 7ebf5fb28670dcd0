import type { Random } from "../random";
import type { FleetModel, ModelEntry } from "./createFleetModel";

/** Sends tasks to random serving instances, as one entry sees the fleet, also while that view is old. */
export function startSender(
    model: FleetModel,
    entry: ModelEntry,
    everyMs: number,
    maxRunMs: number,
    random: Random,
): void {
    let sent = 0;
    const send = () => {
        const state = entry.configuration.state();
        const serving = Object.values(state?.instances ?? {}).filter((instance) => instance.state.kind === "serving");
        const chosen = serving.length === 0 ? undefined : random.pick(serving);
        if (chosen !== undefined && !entry.gate.isFrozen) {
            void entry.workers.runTask({ instance: chosen.name, url: chosen.url }, {
                attempt: `${entry.boot}-${sent}`,
                team: "stables",
                pool: chosen.pool,
                assignmentNumber: chosen.assignmentNumber,
                leaseMs: 24 * 3_600_000,
                holder: entry.boot,
                size: { processors: 1, memoryMb: 1, accelerators: 0 },
                isRepeatable: sent % 2 === 0,
                payload: `run ${random.int(0, maxRunMs)}`,
            });
        }
        sent++;
        model.clock.setTimeout(send, everyMs);
    };
    send();
}
