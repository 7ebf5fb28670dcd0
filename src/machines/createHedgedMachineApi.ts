import { callOverdueMs, isConnectionSilent } from "../connections";
import type { MachineApi, MachineListResult } from "./machines";

export interface HedgedMachineApiOptions {
    /** Takes connections that may be old. */
    readonly pooled: MachineApi;
    /** Opens a connection for each call. */
    readonly unpooled: Pick<MachineApi, "list">;
    /** A clock that never jumps, in milliseconds. */
    readonly nowMs: () => number;
    /** Called when a list has no answer while a later one over a new connection has one. */
    onSilentConnection(overdueMs: number, laterCallMs: number): void;
}

/**
 * Creates a client that repeats an overdue list of machines over a new connection, and takes the first answer.
 *
 * The API may be slow, so that a call has seconds to be answered. A leader that waits this long on a silent connection moves no
 * machine meanwhile.
 */
export function createHedgedMachineApi(opts: HedgedMachineApiOptions): MachineApi {
    const { pooled, unpooled, nowMs } = opts;

    async function listAgain(firstSentAtMs: number, isFirstSettled: () => boolean): Promise<MachineListResult> {
        const sentAtMs = nowMs();
        const result = await unpooled.list();
        const [overdueMs, laterCallMs] = [nowMs() - firstSentAtMs, nowMs() - sentAtMs];
        if (result.kind === "machines" && !isFirstSettled() && isConnectionSilent(overdueMs, laterCallMs)) {
            opts.onSilentConnection(Math.round(overdueMs), Math.round(laterCallMs));
        }
        return result;
    }

    async function list(): Promise<MachineListResult> {
        const sentAtMs = nowMs();
        let isSettled = false;
        const first = pooled.list().finally(() => isSettled = true);
        await waitAtMost(first, callOverdueMs);
        if (isSettled) {
            return first;
        }
        const second = listAgain(sentAtMs, () => isSettled);
        const earlier = await Promise.race([first, second]);
        return earlier.kind === "machines" ? earlier : (await Promise.all([first, second])).find(isList) ?? earlier;
    }

    return { ...pooled, list };
}

function isList(result: MachineListResult): boolean {
    return result.kind === "machines";
}

/** Resolves once the call has ended or the time is over. */
async function waitAtMost(call: Promise<unknown>, ms: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([call, new Promise((resolve) => timer = setTimeout(resolve, ms))]);
    clearTimeout(timer);
}
