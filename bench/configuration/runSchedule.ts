import { install } from "@sinonjs/fake-timers";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createJudge } from "./createJudge";
import { createTestFleet, type TestEntry } from "./createTestFleet";

export interface ScheduleResult {
    /** Promises broken, in words; empty where the schedule kept all. */
    readonly violations: readonly string[];
    readonly accepted: number;
    readonly unknown: number;
    readonly cuts: number;
}

const steps = 40;
const entryCount = 4;

/**
 * Runs one seeded schedule of appends and faults over the fakes, on a paused clock: writers race, answers are lost,
 * entries are cut off, frozen, killed and started, the platform goes down, and now and then back to an older value.
 */
export async function runSchedule(seed: number): Promise<ScheduleResult> {
    const clock = install();
    const generator = xoroshiro128plus(seed);
    const below = (end: number) => uniformInt(generator, 0, end - 1);
    const fleet = createTestFleet(() => below(1000) / 1000);
    const judge = createJudge(fleet);
    const answers: Promise<void>[] = [];
    const told = new Map<string, number | string>();
    let [nextName, snapshots] = [0, 0];

    const takeWrite = fleet.platform.onWrite;
    fleet.platform.onWrite = (client, key, text) => {
        snapshots += key.startsWith("samphirepin/snapshot/") && key.endsWith("/0") ? 1 : 0;
        takeWrite(client, key, text);
    };

    function anyLive(): TestEntry {
        const live = fleet.live();
        return live[below(live.length)]!;
    }

    function append(): void {
        const name = `pool-${nextName++}x`;
        const appended = fleet.addPool(anyLive(), name);
        answers.push(appended.then((result) => {
            told.set(name, result.caseOf<number | string>({ Left: ({ kind }) => kind, Right: (revision) => revision }));
        }));
    }

    function heal(): void {
        fleet.platform.isDown = false;
        fleet.platform.cutOff.clear();
        fleet.entries.filter(({ isLive }) => !isLive).forEach(({ boot }) => fleet.platform.cutOff.add(boot));
        fleet.live().filter(fleet.isFrozen).forEach(fleet.wake);
        fleet.network.cuts.clear();
        fleet.platform.lostWriteAnswers = 0;
    }

    async function act(): Promise<void> {
        const kind = below(100);
        if (kind < 45) {
            Array.from({ length: 1 + below(4) }, append);
        }
        else if (kind < 53) {
            fleet.platform.lostWriteAnswers += 1 + below(2);
        }
        else if (kind < 61) {
            fleet.platform.cutOff.add(anyLive().boot);
        }
        else if (kind < 66) {
            fleet.platform.isDown = !fleet.platform.isDown;
        }
        else if (kind < 73) {
            const entry = anyLive();
            if (fleet.isFrozen(entry)) {
                fleet.wake(entry);
            }
            else {
                fleet.freeze(entry);
            }
        }
        else if (kind < 79) {
            const [one, other] = [anyLive(), anyLive()];
            fleet.network.cuts.add(`${one.boot}>${other.boot}`);
        }
        else if (kind < 86 && fleet.live().length > 2) {
            fleet.kill(anyLive());
            fleet.start();
        }
        else if (kind < 98) {
            heal();
        }
        else {
            await goBack();
        }
    }

    /** The platform goes back while every entry is up to date; entries that start meanwhile are not promised. */
    async function goBack(): Promise<void> {
        heal();
        const backup = fleet.backUp();
        append();
        append();
        await clock.tickAsync(30_000);
        fleet.restore(backup);
        await clock.tickAsync(below(2) * 150_000);
        append();
        await clock.tickAsync(150_000);
    }

    function check(): void {
        fleet.live().forEach(judge.checkEntry);
        fleet.live().filter((entry) => !fleet.isFrozen(entry)).forEach(judge.checkInForce);
    }

    try {
        Array.from({ length: entryCount }, () => fleet.start());
        await clock.tickAsync(5000);
        for (let step = 0; step < steps; step++) {
            await act();
            await clock.tickAsync([1, 5, 50, 500, 3000][below(5)]!);
            check();
        }
        heal();
        append();
        await clock.tickAsync(45_000);
        // An entry that was killed while frozen never answers.
        await Promise.race([Promise.all(answers), clock.tickAsync(1)]);
        check();
        told.forEach((answer, name) => judge.checkAnswer(name, answer));
        for (const { boot, applied, configuration } of fleet.live()) {
            const { everywhere, missing } = configuration.inForce(judge.order.length);
            if (applied().length !== judge.order.length || !everywhere) {
                judge.violations.push(
                    `${boot} ends at ${applied().length} of ${judge.order.length}, missing ${
                        missing.map((each) => each.boot).join(" ")
                    }`,
                );
            }
        }
        const outcomes = [...told.values()];
        return {
            violations: judge.violations,
            accepted: outcomes.filter((outcome) => typeof outcome === "number").length,
            unknown: outcomes.filter((outcome) => outcome === "unknown").length,
            cuts: snapshots,
        };
    }
    finally {
        fleet.stop();
        clock.uninstall();
    }
}
