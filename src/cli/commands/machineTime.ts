import { type MachineTime, promptS, readLogLines, sumMachineTime } from "../../logs";
import { defineCommand } from "../defineCommand";
import { ExitCode } from "../exitCode";
import { logFlags } from "../logFlags";
import { writeAnswer, writeLine, writeTable } from "../output";

/** `samphirepin machine-time`: what machines in pools did. */
export const machineTime = defineCommand({
    id: "machine-time",
    summary: "tell from the logs where machine time went",
    description:
        "Empty, with tasks that last alone, or at work, by pool; which machines that joined found work; and when "
        + "nobody decided. Lines that were left out under load are not counted.",
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
        "staying s": Math.round(stayingS),
        "working s": Math.round(workingS),
        "processors used": `${Math.round(100 * usedCoreS / Math.max(1, coreS))}%`,
    })));
    const { prompt, later, never } = joined;
    writeLine(`machines that joined: ${prompt} found work within ${promptS} s, ${later} later, ${never} none`);
    writeLine("without an owner:");
    vacancies.forEach(({ until, lastedS, reason }) => writeLine(`  ${until} ${lastedS.toFixed(2)} s (${reason})`));
}
