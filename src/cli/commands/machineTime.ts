import { type MachineTime, promptS, readLogLines, sumMachineTime } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeAnswer, writeLine, writeTable } from "../output";

/** `samphirepin machine-time`: use of machine time by pool. */
export const machineTime = defineCommand({
    id: "machine-time",
    summary: "summarize from the logs how machine time was used",
    description:
        "By pool: time of machines that were empty, ran only long-running tasks, or worked. Also: whether machines "
        + "that joined got work, and periods without a leader. Log lines dropped under load are not counted.",
    flags: logFlags,
    examples: ["machine-time --log *.log", "machine-time --log *.log --json"],
    async run({ flags }) {
        const { pools, joined, vacancies } = sumMachineTime(await readLogLines(flags["log"] as string[]));
        const answer = { pools: Object.fromEntries(pools), joined, vacancies };
        writeAnswer(answer, flags["json"] === true, () => writeMachineTime({ pools, joined, vacancies }));
        return ExitCode.Done;
    },
});

function writeMachineTime({ pools, joined, vacancies }: MachineTime): void {
    writeTable([...pools].map(([pool, { emptyS, stayingS, workingS, coreS, usedCoreS }]) => ({
        pool,
        "empty s": Math.round(emptyS),
        "long-running only s": Math.round(stayingS),
        "working s": Math.round(workingS),
        "processors used": `${Math.round(100 * usedCoreS / Math.max(1, coreS))}%`,
    })));
    const { prompt, later, never } = joined;
    writeLine(`machines that joined: ${prompt} got work within ${promptS} s, ${later} later, ${never} none`);
    writeLine("without a leader:");
    vacancies.forEach(({ until, lastedS, reason }) => writeLine(`  ${until} ${lastedS.toFixed(2)} s (${reason})`));
}
