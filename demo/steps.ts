import { callHttp, type Fleet, type HttpAnswer } from "../standins/processes";

const pollMs = 50;
const patienceMs = 60_000;

interface DemoTask {
    readonly payload: string;
    readonly repeatable?: boolean;
    readonly idempotencyKey?: string;
}

/** Sends a task to pool "stalls" and waits for its end. */
export function sendTask(url: string, key: string, task: DemoTask): Promise<HttpAnswer> {
    return callHttp("POST", `${url}/v1/tasks`, key, {
        pool: "stalls",
        size: { processors: 1, memoryMb: 256 },
        expectedRunMs: 500,
        deadlineMs: 15_000,
        repeatable: true,
        ...task,
    });
}

/** Asks again and again until the condition holds. */
export async function waitUntil(what: string, condition: () => Promise<boolean>): Promise<void> {
    const endAtMs = Date.now() + patienceMs;
    while (!(await condition())) {
        if (Date.now() > endAtMs) {
            throw new Error(`${what}: not within ${patienceMs} ms`);
        }
        await new Promise((resolve) => setTimeout(resolve, pollMs));
    }
}

/** Waits for a confirmed plan to end; gives one line about it. */
export async function followPlan(fleet: Fleet, entry: Fleet["entries"][number], confirmed: unknown): Promise<string> {
    const startedAtMs = Date.now();
    const { id } = confirmed as { id: string; };
    let progress: HttpAnswer["body"];
    await waitUntil(`plan ${id} ends`, async () => {
        progress = (await fleet.operate(entry, "GET", `/operator/plans/${id}`)).body;
        return progress.status?.kind !== undefined && progress.status.kind !== "running";
    });
    return `plan ${id.slice(0, 8)}: ${progress.status.kind} after ${Date.now() - startedAtMs} ms, ${
        JSON.stringify(progress.counts ?? {})
    }`;
}
