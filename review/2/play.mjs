import { fileURLToPath } from "node:url";
import { createRecord } from "../record.mjs";
import { call, createWorld, pause, prefix, runCase } from "../world.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = createRecord(fileURLToPath(new URL("record.txt", import.meta.url)));

const target = "00000000000000a1";
/** Bounds of the sheet and dose of `platform_lost`, in milliseconds. */
const [cancelMs, stopTimeoutMs, contactMs] = [3000, 400, 3000];
const [lostForMs, latestMs, maxShare] = [4500, 6000, 0.35];

/** Longest wait of the client for an answer, in milliseconds: the time budget of the sheet. */
const budgetMs = 3000;

await runCase(record, async (setWorld) => {
    let lossBeganAtMs;
    let writes = 0;
    let lost = 0;
    const isLosing = () => lossBeganAtMs !== undefined && performance.now() - lossBeganAtMs < lostForMs;

    const world = await createWorld({
        record,
        workMsOf: (task) => task.startsWith(target) ? Infinity : 800,
        async onTransaction(client, { puts = [] }, apply) {
            if (!isLosing()) {
                return apply();
            }
            writes++;
            if (!puts.some(({ key }) => key.endsWith(target))) {
                return apply();
            }
            lost++;
            const sentAtMs = performance.now();
            setTimeout(() => {
                const { status } = apply();
                record(
                    `store: write of ${client} carried out ${
                        Math.round(performance.now() - sentAtMs)
                    } ms late: ${status}`,
                );
            }, latestMs - 100);
            record(`store: write of ${client} not answered`);
            return undefined;
        },
    });
    setWorld(world);
    await world.waitUntilServing();
    await pause(contactMs + 1000);
    const [taker, other] = world.entries.filter((entry) => entry !== world.findLeader());

    /** Other clients' submissions, so that the lost writes stay within their share. */
    const background = (async () => {
        for (let at = 0; at < 16; at++) {
            const id = at.toString(16).padStart(16, "b");
            const { status } = await call(other.front, "POST", prefix + id, {
                body: { spec: id, steps: [{ count: 2, cpu: 1800, memMb: 256, estimateMs: 800 }] },
            });
            record(`client b: POST ${id}: ${status}`);
            await pause(280);
        }
    })();
    if (hasTrouble) {
        lossBeganAtMs = performance.now();
        record("the store begins to lose answers");
    }
    const body = { spec: target, steps: [{ count: 5, cpu: 2700, memMb: 14000, estimateMs: 900, longRunning: true }] };
    const accepted = await call(taker.front, "POST", prefix + target, {
        body,
        deadlineMs: budgetMs,
        timeoutMs: budgetMs,
    });
    record(`client a: POST ${target}: ${accepted.status} ${accepted.text}`);
    let cancel;
    let cancelledAtMs;
    do {
        cancel = await call(other.front, "DELETE", prefix + target);
        cancelledAtMs = performance.now();
        record(`client a: DELETE ${target}: ${cancel.status} ${cancel.text}`);
    }
    while (cancel.status !== 200 && cancel.status !== 410);
    await background;
    await pause(12_000 - (performance.now() - cancelledAtMs));
    const state = await call(other.front, "GET", prefix + target);
    record(`client a: GET ${target}: ${state.status} ${state.text}`);
    if (hasTrouble) {
        record(`writes while answers were lost: ${writes}, not answered: ${lost}`);
        if (lost === 0 || lost > maxShare * writes) {
            throw new Error("the lost writes are not within their share");
        }
    }
    const calmAtMs = hasTrouble ? lossBeganAtMs + lostForMs + contactMs : 0;
    const runs = world.runs.filter(({ task }) => task.startsWith(target));
    const lateStarts = runs.filter(({ startedAtMs }) =>
        startedAtMs > cancelledAtMs + cancelMs && startedAtMs > calmAtMs
    );
    const stillRuns = runs.filter(({ endedAtMs }) => endedAtMs === undefined);
    record(`starts later than ${cancelMs} ms after the acknowledgement, by machines in touch: ${lateStarts.length}`);
    record(`still running ${Math.round(performance.now() - cancelledAtMs)} ms after it: ${stillRuns.length}`);
    record(`bound for running tasks: ${cancelMs + stopTimeoutMs} ms`);
    return lateStarts.length > 0 || stillRuns.length > 0;
});
