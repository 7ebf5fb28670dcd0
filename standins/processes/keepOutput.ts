import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { callHttp } from "./callHttp";
import type { EntryProcess } from "./startFleet";
import type { Process } from "./startProcess";

export interface KeptFleet {
    readonly platform: { readonly url: string; readonly process: Process; };
    readonly workers: readonly { readonly name: string; readonly process: Process; }[];
    readonly entries: readonly EntryProcess[];
}

/** A process that was killed doesn't answer. */
const answerWaitMs = 2000;

/**
 * Writes the output of all processes, the metrics of the entries and the values of the store to a folder below `dir`,
 * so that a failed run can be explained.
 */
export async function keepOutput(dir: string, { platform, workers, entries }: KeptFleet): Promise<void> {
    const folder = join(dir, `fleet-${platform.process.pid}`);
    await mkdir(folder, { recursive: true });
    const keep = (name: string, lines: readonly string[]) => writeFile(join(folder, name), `${lines.join("\n")}\n`);
    await Promise.all([
        ...workers.map(({ name, process: { lines } }) => keep(`${name}.log`, lines)),
        ...entries.map(({ name, process: { lines, pid } }) => keep(`${name}-${pid}.log`, lines)),
        ...entries.map(async ({ name, url, process: { pid } }) =>
            keep(`${name}-${pid}.metrics`, [await readText(`${url}/metrics`)])
        ),
        readText(`${platform.url}/kv-range?prefix=samphirepin/`).then((text) => keep("store.json", [text])),
    ]);
}

async function readText(url: string): Promise<string> {
    const late = new Promise<string>((resolve) => setTimeout(() => resolve("no answer in time"), answerWaitMs).unref());
    const answer = callHttp("GET", url).then(
        ({ body }) => typeof body === "string" ? body : JSON.stringify(body),
        (error: unknown) => String(error),
    );
    return Promise.race([answer, late]);
}
