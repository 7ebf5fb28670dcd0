import fc from "fast-check";
import { logKey, type TestEntry, type TestFleet } from "../../../bench/configuration/createTestFleet";

/** Delivers generated logs and messages to one entry, and then the platform's current log again. */
export async function sendMalformed(
    fleet: TestFleet,
    target: TestEntry,
    count: number,
    pass: (ms: number) => Promise<unknown>,
): Promise<void> {
    const sender = fleet.network.connect({ boot: "x", instance: "x", region: "", zone: "", peerUrl: "" });
    sender.onRequest("configuration/fetch", () => Promise.resolve({ kind: "snapshot", text: "{\"version\":1}" }));
    const changeKind = fc.constantFrom("setPool", "setTeam", "grantKey", "addInstance", "of a newer version");
    const record = fc.record({
        id: fc.string({ minLength: 1, maxLength: 20 }),
        by: fc.string(),
        atMs: fc.integer(),
        reason: fc.string(),
        command: fc.oneof(
            fc.anything(),
            fc.record({
                kind: fc.constant("change"),
                changes: fc.array(fc.record({ kind: changeKind }), { minLength: 1 }),
            }),
        ),
    });
    const part = fc.record({ baseRevision: fc.nat(4), baseHash: fc.string(), records: fc.array(record) });
    const { records, ...base } = JSON.parse(fleet.platform.values.get(logKey)?.text ?? "") as { records: unknown[]; };
    const extendedLog = fc.array(record, { maxLength: 1 }).map((more) =>
        JSON.stringify({ ...base, records: [...records, ...more] })
    );
    const log = fc.oneof(
        fc.json(),
        fc.string(),
        part.map((each) => JSON.stringify({ ...each, version: 1 })),
        extendedLog,
    );
    const body = fc.oneof(fc.anything(), part, fc.record({ revision: fc.nat(), hash: fc.string() }));
    for (const [at, text] of fc.sample(log, { numRuns: count, seed: 1 }).entries()) {
        target.watcher.observe(logKey, { text, revision: 100 + at });
        await pass(1);
    }
    for (const message of fc.sample(body, { numRuns: count, seed: 2 })) {
        ["digest", "fetch", "ask"].forEach((topic) => {
            trySend(() => sender.send(target.boot, `configuration/${topic}`, message));
        });
    }
    await pass(1000);
    fleet.network.remove("x");
    target.watcher.rewind(logKey, 0);
    await pass(30_000);
}

/** The fake network cannot copy every generated value; such a value is not sent. */
function trySend(send: () => boolean): void {
    try {
        send();
    }
    catch {
        return;
    }
}
