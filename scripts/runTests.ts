import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { availableParallelism, tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { globSync } from "tinyglobby";

/** Runs every folder of features in a cucumber process of its own and prints the sum of their real counts. */

interface ScenarioResult {
    readonly name: string;
    readonly uri: string;
    readonly passed: boolean;
}

interface Message {
    readonly pickle?: { id: string; name: string; uri: string; };
    readonly testCase?: { id: string; pickleId: string; };
    readonly testCaseStarted?: { id: string; testCaseId: string; };
    readonly testStepFinished?: { testCaseStartedId: string; testStepResult: { status: string; message?: string; }; };
    readonly testCaseFinished?: { testCaseStartedId: string; willBeRetried: boolean; };
}

const knownRedFile = "KNOWN-RED.txt";
const maxKnownRed = 4;
/** Entries of this issue don't count against the cap: its tests with crowds may be listed one by one. */
const uncappedIssue = "issue 57";
/** Folders whose tests run alone, after all others: they load the machine, and measure the memory of a process. */
const isSolo = (folder: string) => folder === "test/crowds";
/** A folder that hangs is ended and counts as failed. */
const folderTimeoutMs = 240_000;
const maxParallel = Math.max(1, Math.min(4, Math.floor(availableParallelism() / 3)));

/** Each line of the file: scenario name, cause, issue; separated by " | ". */
function readKnownRed(): readonly string[] {
    if (!existsSync(knownRedFile)) {
        return [];
    }
    const lines = readFileSync(knownRedFile, "utf8").split("\n").filter((line) =>
        line.trim() !== "" && !line.startsWith("#")
    );
    const capped = lines.filter((line) => !line.endsWith(`| ${uncappedIssue}`)).length;
    if (capped > maxKnownRed) {
        throw new Error(`${knownRedFile} lists ${capped} faults; at most ${maxKnownRed} may stand there`);
    }
    return lines;
}

function readMessages(file: string): readonly ScenarioResult[] {
    const messages = readFileSync(file, "utf8").split("\n").filter((line) => line !== "").map((line) =>
        JSON.parse(line) as Message
    );
    const pickles = new Map(messages.flatMap(({ pickle }) => pickle === undefined ? [] : [[pickle.id, pickle]]));
    const cases = new Map(
        messages.flatMap(({ testCase }) => testCase === undefined ? [] : [[testCase.id, testCase.pickleId]]),
    );
    const started = new Map(
        messages.flatMap(({ testCaseStarted }) =>
            testCaseStarted === undefined ? [] : [[testCaseStarted.id, testCaseStarted.testCaseId]]
        ),
    );
    const broken = new Set<string>();
    for (const { testStepFinished } of messages) {
        if (testStepFinished !== undefined && testStepFinished.testStepResult.status !== "PASSED") {
            broken.add(testStepFinished.testCaseStartedId);
        }
    }
    return messages.flatMap(({ testCaseFinished }) => {
        const id = testCaseFinished?.testCaseStartedId;
        const pickle = id === undefined ? undefined : pickles.get(cases.get(started.get(id) ?? "") ?? "");
        return pickle === undefined || id === undefined
            ? []
            : [{ name: pickle.name, uri: pickle.uri, passed: !broken.has(id) }];
    });
}

async function runFolder(
    folder: string,
    scratch: string,
): Promise<{ results: readonly ScenarioResult[]; output: string; exitCode: number; }> {
    const file = join(scratch, `${folder.replaceAll("/", "-")}.ndjson`);
    const args = [
        "node_modules/@cucumber/cucumber/bin/cucumber.js",
        `${folder}/*.feature`,
        "--require-module",
        "tsx/cjs",
        "--require",
        `${folder}/*.ts`,
        "--format",
        "summary",
        "--format",
        `message:${file}`,
    ];
    const child = spawn(process.execPath, args, {
        stdio: ["ignore", "pipe", "pipe"],
        timeout: folderTimeoutMs,
        killSignal: "SIGKILL",
    });
    let output = "";
    child.stdout.on("data", (data) => output += String(data));
    child.stderr.on("data", (data) => output += String(data));
    const exitCode = await new Promise<number>((resolve) => child.on("close", (code) => resolve(code ?? 1)));
    return { results: existsSync(file) ? readMessages(file) : [], output, exitCode };
}

async function main(): Promise<number> {
    const only = process.argv.slice(2);
    const knownRed = readKnownRed();
    const all = globSync("{src/*/test,platform/test,test/*,matrix/test,bench/test,standins/test}/*.feature").map((
        file,
    ) => dirname(file));
    const folders = [...new Set(all)].sort().filter((folder) =>
        only.length === 0 || only.some((part) => folder.includes(part))
    );
    const scratch = mkdtempSync(join(tmpdir(), "samphirepin-test-"));
    let [passed, failed, known] = [0, 0, 0];
    let isBroken = false;

    async function work(queue: string[]): Promise<void> {
        for (let folder = queue.shift(); folder !== undefined; folder = queue.shift()) {
            const startedAtMs = performance.now();
            const { results, output, exitCode } = await runFolder(folder, scratch);
            const bad = results.filter((result) => !result.passed);
            const red = bad.filter(({ name }) => knownRed.some((line) => line.startsWith(`${name} | `)));
            passed += results.length - bad.length;
            known += red.length;
            failed += bad.length - red.length;
            isBroken ||= results.length === 0 || exitCode !== 0 && bad.length === 0;
            const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1);
            process.stdout.write(
                `${folder}: ${results.length - bad.length} of ${results.length} passed (${seconds} s)\n`,
            );
            if (bad.length > 0 || exitCode !== 0) {
                process.stdout.write(`${output}\n`);
            }
            red.forEach(({ name }) => process.stdout.write(`known red: ${name}\n`));
        }
    }

    const shared = folders.filter((folder) => !isSolo(folder));
    await Promise.all(Array.from({ length: maxParallel }, () => work(shared)));
    await work(folders.filter(isSolo));
    rmSync(scratch, { recursive: true });
    if (isBroken) {
        process.stdout.write("a folder ran no scenario or ended badly\n");
    }
    process.stdout.write(`${passed} passed, ${failed} failed${known > 0 ? `, ${known} skipped` : ""}\n`);
    return failed > 0 || isBroken ? 1 : 0;
}

void main().then((exitCode) => {
    process.exitCode = exitCode;
});
