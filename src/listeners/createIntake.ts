import type { IntakeLimit } from "./connectionLoad";
import { type ConnectionLoad, type ConnectionPhase, findPhaseLimit } from "./connectionLoad";
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
    connect(listener: string, connection: IntakeConnection): void;
    /** Reads the load of a connection again. */
    update(connection: IntakeConnection): void;
    disconnect(connection: IntakeConnection): void;
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

export function createIntake({ limits, onLimit }: IntakeOptions): Intake {
    const accounts = new Map<IntakeConnection, Account>();
    const connections = new Map<string, number>();
    let heldBytes = 0;

    function readLoad(account: Account): void {
        const load = account.connection.load();
        heldBytes += load.droppableBytes + load.requestBytes - account.droppableBytes - account.requestBytes;
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
            connections.set(account.listener, (connections.get(account.listener) ?? 1) - 1);
        }
    }

    function end(account: Account, limit: IntakeLimit): void {
        onLimit(account.listener, limit);
        account.connection.closeFor(limit);
    }

    return {
        limits,
        connect(listener, connection) {
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
        },
        update(connection) {
            const account = accounts.get(connection);
            if (account !== undefined) {
                readLoad(account);
            }
        },
        disconnect(connection) {
            const account = accounts.get(connection);
            if (account !== undefined) {
                remove(account);
            }
        },
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
