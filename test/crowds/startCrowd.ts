import { readdirSync, readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { pause } from "../../src/clock";

/** Clients that send and never read. */
export interface Crowd {
    readonly host: string;
    readonly port: number;
    readonly connections: number;
    /** Sent once on each connection, before the rest. */
    readonly first?: (client: number) => Buffer;
    /** Sent `times` times on each connection. */
    readonly bytes: Buffer;
    readonly times: number;
    /** Whether connections stay open after all has been sent, until the crowd leaves. */
    readonly staysMs?: number;
}

/** Greatest values seen of a process. */
export interface Peak {
    memoryMb: number;
    descriptors: number;
}

/** A crowd from which nothing has been taken for this long has sent all that will be taken, in milliseconds. */
const quietMs = 2000;

/** Limit on the run of one crowd, in milliseconds. */
const maxRunMs = 40_000;

const sampleMs = 20;

/** Opens a connection on which nothing is read. */
export function openSilentSocket(host: string, port: number): Socket {
    const socket = connect({ host, port });
    socket.pause();
    // A refused or ended connection is an allowed answer to such a client.
    socket.on("error", () => socket.destroy());
    return socket;
}

/** Plays a crowd until all of it has been sent, refused or left unread; then closes its connections. */
export async function playCrowd(crowd: Crowd): Promise<void> {
    const sockets = Array.from({ length: crowd.connections }, () => openSilentSocket(crowd.host, crowd.port));
    const startedAtMs = performance.now();
    let lastSentAtMs = startedAtMs;
    await Promise.race([
        Promise.all(sockets.map((socket, client) => {
            socket.write(crowd.first?.(client) ?? "");
            return sendAll(socket, crowd, () => lastSentAtMs = performance.now());
        })),
        waitFor(() => performance.now() - lastSentAtMs > quietMs || performance.now() - startedAtMs > maxRunMs),
    ]);
    await pause(crowd.staysMs ?? 0);
    sockets.forEach((socket) => socket.destroy());
}

async function sendAll(socket: Socket, { bytes, times }: Crowd, onSent: () => void): Promise<void> {
    for (let sent = 0; sent < times && !socket.destroyed; sent++) {
        await new Promise<void>((resolve) => {
            socket.once("close", resolve);
            socket.write(bytes, () => {
                socket.off("close", resolve);
                onSent();
                resolve();
            });
        });
    }
}

async function waitFor(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await pause(sampleMs);
    }
}

/** Samples the memory and the descriptors of a process until `stop`. */
export function watchProcess(pid: number): { readonly peak: Peak; stop(): void; } {
    const peak: Peak = { memoryMb: 0, descriptors: 0 };
    const sample = () => {
        const status = readProcess(() => readFileSync(`/proc/${pid}/status`, "utf8")) ?? "";
        peak.memoryMb = Math.max(peak.memoryMb, Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024);
        const descriptors = readProcess(() => readdirSync(`/proc/${pid}/fd`)) ?? [];
        peak.descriptors = Math.max(peak.descriptors, descriptors.length);
    };
    const timer = setInterval(sample, sampleMs);
    return {
        peak,
        stop() {
            sample();
            clearInterval(timer);
        },
    };
}

/** A process that has ended has no values; that it has ended is checked apart. */
function readProcess<T>(read: () => T): T | undefined {
    try {
        return read();
    }
    catch {
        return undefined;
    }
}
