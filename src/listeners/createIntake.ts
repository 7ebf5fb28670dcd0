import { type ConnectionLoad, type ConnectionPhase, findPhaseLimit, IntakeLimit } from "./connectionLoad";
import type { IntakeLimits } from "./intakeLimits";

/** A connection as the intake sees it. */
export interface IntakeConnection {
    load(): ConnectionLoad;
    /** Closes the connection because of the limit. */
    closeFor(limit: IntakeLimit): void;
    /** Called at each tick: what waits for memory may go on. */
    proceed(): void;
}

/** What all listeners of a process hold for their clients. It uses neither the network nor a clock. */
export interface Intake {
    readonly limits: IntakeLimits;
    /**
     * Takes a new connection. At the most connections of a listener, the one is closed that has waited longest for a
     * request; if there is none, the new one is refused and `false` returned.
     */
    connect(listener: string, connection: IntakeConnection, maxConnections: number): boolean;
    /** Reads the load of a connection again, and closes connections if too much is held. */
    update(connection: IntakeConnection): void;
    disconnect(connection: IntakeConnection): void;
    /**
     * Whether a request of this estimated memory may be carried out. Connections that hold more than that are closed for it
     * if need be. A request that is alone is always carried out.
     */
    admit(connection: IntakeConnection, requestBytes: number): boolean;
    /** Whether no request may be carried out before another has ended. */
    isFull(): boolean;
    /** Closes the connections that are beyond a time limit. */
    tick(elapsedMs: number): void;
    /** Counts a limit that a listener applies by itself. */
    countLimit(listener: string, limit: IntakeLimit): void;
    heldBytes(): number;
    /** Open connections by listener. */
    connections(): ReadonlyMap<string, number>;
}

export interface IntakeOptions {
    readonly limits: IntakeLimits;
    readonly onLimit: (listener: string, limit: IntakeLimit) => void;
}

interface Account {
    readonly listener: string;
    readonly connection: IntakeConnection;
    droppableBytes: number;
    requestBytes: number;
    phase: ConnectionPhase;
    progress: number;
    /** Time in the phase without progress, in milliseconds. */
    phaseMs: number;
}

/** A connection that holds less is not closed to free memory, in bytes. */
const minDroppedBytes = 16 * 1024;

export function createIntake({ limits, onLimit }: IntakeOptions): Intake {
    const accounts = new Map<IntakeConnection, Account>();
    const connections = new Map<string, number>();
    let heldBytes = 0;
    let requestBytes = 0;

    function readLoad(account: Account): void {
        const load = account.connection.load();
        heldBytes += load.droppableBytes + load.requestBytes - account.droppableBytes - account.requestBytes;
        requestBytes += load.requestBytes - account.requestBytes;
        account.droppableBytes = load.droppableBytes;
        account.requestBytes = load.requestBytes;
        if (load.phase !== account.phase || load.progress !== account.progress) {
            account.phase = load.phase;
            account.progress = load.progress;
            account.phaseMs = 0;
        }
    }

    function remove(account: Account): void {
        if (accounts.delete(account.connection)) {
            heldBytes -= account.droppableBytes + account.requestBytes;
            requestBytes -= account.requestBytes;
            connections.set(account.listener, (connections.get(account.listener) ?? 1) - 1);
        }
    }

    function end(account: Account, limit: IntakeLimit): void {
        onLimit(account.listener, limit);
        account.connection.closeFor(limit);
    }

    /** Closes connections, those that hold most first, until `neededBytes` more may be held. */
    function free(neededBytes: number, minBytes: number): void {
        while (heldBytes + neededBytes > limits.maxHeldBytes) {
            const largest = findGreatest(accounts.values(), ({ droppableBytes }) => droppableBytes);
            if (largest === undefined || largest.droppableBytes < minBytes) {
                return;
            }
            // Removed at once: its connection may close later.
            remove(largest);
            end(largest, IntakeLimit.HeldBytes);
        }
    }

    return {
        limits,
        connect(listener, connection, maxConnections) {
            if ((connections.get(listener) ?? 0) >= maxConnections) {
                const candidates = [...accounts.values()].filter((account) =>
                    account.listener === listener && (account.phase === "idle" || account.phase === "head")
                );
                const oldest = findGreatest(candidates, ({ phaseMs }) => phaseMs);
                if (oldest === undefined) {
                    onLimit(listener, IntakeLimit.Connections);
                    return false;
                }
                remove(oldest);
                end(oldest, IntakeLimit.Connections);
            }
            const account: Account = {
                listener,
                connection,
                droppableBytes: 0,
                requestBytes: 0,
                phase: "idle",
                progress: 0,
                phaseMs: 0,
            };
            accounts.set(connection, account);
            connections.set(listener, (connections.get(listener) ?? 0) + 1);
            return true;
        },
        update(connection) {
            const account = accounts.get(connection);
            if (account !== undefined) {
                readLoad(account);
                free(0, minDroppedBytes);
            }
        },
        disconnect(connection) {
            const account = accounts.get(connection);
            if (account !== undefined) {
                remove(account);
            }
        },
        admit(connection, neededBytes) {
            free(neededBytes, Math.max(neededBytes, minDroppedBytes));
            const isAdmitted = requestBytes === 0 || heldBytes + neededBytes <= limits.maxHeldBytes;
            const account = accounts.get(connection);
            if (!isAdmitted && account !== undefined) {
                onLimit(account.listener, IntakeLimit.HeldBytes);
            }
            return isAdmitted;
        },
        isFull: () => requestBytes >= limits.maxHeldBytes,
        tick(elapsedMs) {
            for (const account of [...accounts.values()]) {
                account.phaseMs += elapsedMs;
                readLoad(account);
                const phaseLimit = findPhaseLimit(account.phase, limits);
                if (phaseLimit !== undefined && account.phaseMs > phaseLimit.maxMs) {
                    account.phaseMs = 0;
                    end(account, phaseLimit.limit);
                }
                else {
                    account.connection.proceed();
                }
            }
        },
        countLimit: onLimit,
        heldBytes: () => heldBytes,
        connections: () => connections,
    };
}

function findGreatest<T>(items: Iterable<T>, measure: (item: T) => number): T | undefined {
    let found: T | undefined;
    let greatest = -1;
    for (const item of items) {
        const value = measure(item);
        if (value > greatest) {
            found = item;
            greatest = value;
        }
    }
    return found;
}
