import { pause } from "../../src/clock";
import type { MachineOrderResult } from "../../src/machines";

/** How the platform treats orders to machines. */
export type MachineOrderFault =
    /** Carried out at once, and answered much later. */
    | "slow"
    /** Held up on their way: carried out and answered much later. */
    | "late"
    /** Carried out at once, and the answers are lost. */
    | "answerLost"
    /** Lost before they arrive. */
    | "lost";

/** When a slow or late order is answered, in milliseconds. */
const delayMs = 1900;

/** How long an entry waits for an answer that is lost, in milliseconds. */
const timeoutMs = 250;

export async function delayOrder(
    fault: MachineOrderFault | undefined,
    carryOut: () => MachineOrderResult,
): Promise<MachineOrderResult> {
    switch (fault) {
        case "slow": {
            const result = carryOut();
            await pause(delayMs);
            return result;
        }
        case "late":
            await pause(delayMs);
            return carryOut();
        case "answerLost":
        case "lost":
            if (fault === "answerLost") {
                carryOut();
            }
            await pause(timeoutMs);
            return { kind: "noAnswer", detail: "no answer in time" };
        case undefined:
            return carryOut();
    }
}
