import { inflateRawSync } from "node:zlib";
import { logKey, type TestEntry, type TestFleet } from "./createTestFleet";

interface WrittenLog {
    readonly baseRevision: number;
    readonly records: readonly {
        readonly command: { readonly changes: readonly { readonly pool: { name: string; }; }[]; };
    }[];
}

/** Keeps the one accepted order by what the platform took, and judges every entry against it. */
export function createJudge(fleet: TestFleet) {
    const order: string[] = [];
    const violations: string[] = [];

    function readLog(text: string): WrittenLog {
        const mark = "deflate-base64:";
        const plain = text.startsWith(mark)
            ? inflateRawSync(Buffer.from(text.slice(mark.length), "base64")).toString()
            : text;
        return JSON.parse(plain) as WrittenLog;
    }

    fleet.platform.onWrite = (client, key, text) => {
        if (key !== logKey) {
            return;
        }
        const { baseRevision, records } = readLog(text);
        const names = records.map(({ command }) => command.changes[0]?.pool.name ?? "");
        const end = baseRevision + names.length;
        if (baseRevision > order.length) {
            violations.push(`${client} left a gap: base ${baseRevision} over ${order.length}`);
        }
        if (end < order.length) {
            violations.push(`${client} lost accepted commands: ${end} of ${order.length}`);
        }
        names.forEach((name, at) => {
            const place = baseRevision + at;
            if (place < order.length && order[place] !== name) {
                violations.push(`${client} wrote ${name} over ${order[place]} at ${place + 1}`);
            }
            if (place >= order.length) {
                if (order.includes(name)) {
                    violations.push(`${client} wrote ${name} twice`);
                }
                order.push(name);
            }
        });
    };

    return {
        order,
        violations,
        /** Every history is a prefix of the accepted order, and no revision went back. */
        checkEntry({ boot, applied, revisions, configuration }: TestEntry): void {
            const names = applied();
            if (names.some((name, at) => order[at] !== name)) {
                violations.push(`${boot} applied ${names.join(" ")} against ${order.join(" ")}`);
            }
            if (configuration.state() !== undefined && configuration.state()?.revision !== names.length) {
                violations.push(`${boot} is at ${configuration.state()?.revision} with ${names.length} commands`);
            }
            if (revisions.some((revision, at) => at > 0 && revision <= (revisions[at - 1] ?? 0))) {
                violations.push(`${boot} went back: ${revisions.join(" ")}`);
            }
        },
        /** Nobody who may serve lacks a revision that an entry calls in force everywhere. */
        checkInForce(entry: TestEntry): void {
            const revision = entry.configuration.state()?.revision;
            if (revision === undefined || !entry.configuration.inForce(revision).everywhere) {
                return;
            }
            const recorded = fleet.platform.values.get("samphirepin/followed/entries")?.text ?? "";
            for (const other of fleet.live().filter(({ boot }) => recorded.includes(`"${boot}"`))) {
                if ((other.configuration.state()?.revision ?? 0) < revision) {
                    violations.push(`${entry.boot} calls ${revision} in force; ${other.boot} lacks it`);
                }
            }
        },
        /** A command was told accepted, refused, or unknown: the first two have to be true. */
        checkAnswer(name: string, answer: number | string): void {
            if (typeof answer === "number" && order[answer - 1] !== name) {
                violations.push(`${name} was told accepted at ${answer}, where ${order[answer - 1]} stands`);
            }
            if ((answer === "unavailable" || answer === "rejected") && order.includes(name)) {
                violations.push(`${name} was told ${answer} and stands in the log`);
            }
        },
    };
}
