import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/** One child process with its output, line by line. */
export interface Process {
    readonly pid: number;
    readonly lines: string[];
    /** Resolves with the first line, past or to come, that contains the text. */
    waitForLine(text: string): Promise<string>;
    kill(signal: NodeJS.Signals): void;
    readonly exited: Promise<number | undefined>;
}

const startTimeoutMs = 30_000;

export function startProcess(file: string, args: readonly string[], nodeFlags: readonly string[] = []): Process {
    const child = spawn(process.execPath, [...nodeFlags, "--import", "tsx", file, ...args], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const lines: string[] = [];
    const waiters = new Set<() => void>();
    let rest = "";
    const onData = (data: Buffer) => {
        const parts = (rest + String(data)).split("\n");
        rest = parts.pop() ?? "";
        lines.push(...parts);
        waiters.forEach((check) => check());
    };
    child.stdout.on("data", onData);
    child.stderr.on("data", onData);
    const exited = new Promise<number | undefined>((resolve) => child.on("exit", (code) => resolve(code ?? undefined)));
    return {
        pid: child.pid ?? 0,
        lines,
        exited,
        kill: (signal) => void child.kill(signal),
        waitForLine: (text) =>
            new Promise((resolve, reject) => {
                const timer = setTimeout(
                    () => reject(new Error(`no line with ${text}:\n${lines.join("\n")}`)),
                    startTimeoutMs,
                );
                const check = () => {
                    const found = lines.find((line) => line.includes(text));
                    if (found !== undefined) {
                        clearTimeout(timer);
                        waiters.delete(check);
                        resolve(found);
                    }
                };
                waiters.add(check);
                check();
            }),
    };
}

/** Ports below those that the system gives to outgoing connections, one of which could take a port before its entry. */
const [firstPort, lastPort] = [12_000, 32_000];

/** A port that was free a moment ago. */
export async function findFreePort(): Promise<number> {
    for (;;) {
        const port = randomInt(firstPort, lastPort);
        const server = createServer();
        const isFree = await new Promise<boolean>((resolve) => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        await new Promise((resolve) => server.close(resolve));
        if (isFree) {
            return port;
        }
    }
}
