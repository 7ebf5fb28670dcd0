import { execFile } from "node:child_process";
import { appendFileSync, existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";

/** A day of a deployment. */
export interface Setting {
    /** The site file. */
    readonly site: string;
    readonly day: string;
    readonly seed: number;
}

export interface Play {
    readonly setting: string;
    readonly variant: string;
    /** Worth by name of the part: `worth` first, and what it is made of. */
    readonly figures: Readonly<Record<string, number>>;
}

const run = promisify(execFile);
const maxOutputBytes = 64 * 1024 * 1024;

export function settingName({ site, day, seed }: Setting): string {
    return `${site.replace(/^.*\//, "").replace(/\.toml$/, "")} ${day} ${seed}`;
}

/** Plays of earlier calls, so that a comparison that was ended goes on where it stopped. */
export function readPlays(file: string): Play[] {
    return existsSync(file)
        ? readFileSync(file, "utf8").split("\n").filter((line) => line !== "").map((line) => JSON.parse(line) as Play)
        : [];
}

export function keepPlays(file: string, plays: readonly Play[]): void {
    plays.forEach((play) => appendFileSync(file, `${JSON.stringify(play)}\n`));
}

/** Plays one seed of the model in a checkout; each fleet is a setting of its own. */
export async function playModel(checkout: string, variant: string, seed: number, isQuick: boolean): Promise<Play[]> {
    const folder = mkdtempSync(join(tmpdir(), "decide-"));
    const file = join(folder, "model.json");
    const args = ["--import", "tsx", "bench/main.ts", "model", "--seed", String(seed), "--out", folder];
    await run(process.execPath, isQuick ? [...args, "--quick"] : args, { cwd: checkout, maxBuffer: maxOutputBytes });
    const { rows } = JSON.parse(readFileSync(file, "utf8")) as {
        rows: { setting: string; way: string; figures: Record<string, number>; }[];
    };
    rmSync(folder, { recursive: true });
    return rows.filter(({ setting }) => setting !== "mean").map(({ setting, way, figures }) => ({
        setting: `model, ${way}: ${setting}, seed ${seed}`,
        variant,
        figures,
    }));
}

/** Plays a day of a deployment in a checkout with the users' bench. */
export async function playDay(
    benchProgram: string,
    checkout: string,
    variant: string,
    setting: Setting,
): Promise<Play> {
    const { site, day, seed } = setting;
    const why = `comparison, ${variant}: ${settingName(setting)}`;
    const { stdout } = await run(
        benchProgram,
        ["run", site, day, "--seed", String(seed), "--jobs", "1", "--why", why],
        { cwd: checkout, maxBuffer: maxOutputBytes },
    );
    return { setting: settingName(setting), variant, figures: parseFigures(stdout) };
}

/** Reads the worth of a day and its parts off a report of the bench. */
export function parseFigures(report: string): Readonly<Record<string, number>> {
    const line = /^worth (-?[\d.]+) = (.*) less prices$/m.exec(report);
    const parts = [...(line?.[2] ?? "").matchAll(/([a-z ]+) (-?[\d.]+) \(weight/g)]
        .map(([, name = "", value]) => [name.trim(), Number(value)] as const);
    const prices = [...report.matchAll(/^ {2}--?([\d.]+) +-?[\d.]+ (.+)$/gm)]
        .map(([, value, name = ""]) => [`price: ${name}`, Number(value)] as const).filter(([, value]) => value > 0);
    const broken = [...report.matchAll(/^\s*(?:rule )?([A-Z]{4,}) (\d+)/gm)]
        .map(([, name = "", count]) => [`broken: ${name}`, Number(count)] as const);
    return { worth: Number(line?.[1] ?? Number.NaN), ...Object.fromEntries([...parts, ...prices, ...broken]) };
}
