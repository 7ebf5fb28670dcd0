import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { findFencingToken } from "../standins/usersPlatform";

/**
 * How a path treats what passes.
 *
 * - `open`: at once.
 * - `delayed`: each piece `delayMs` later.
 * - `reset`: connections break, and new ones at once.
 * - `oneWay`: requests pass, answers are held back until the path is open again.
 * - `silent`: nothing passes until the path is open again.
 */
export type PathState =
    | { readonly kind: "open"; }
    | { readonly kind: "delayed"; readonly delayMs: number; }
    | { readonly kind: "reset"; }
    | { readonly kind: "oneWay"; }
    | { readonly kind: "silent"; };

/** A path over TCP on loopback that can be made bad from outside the processes at its ends. */
export interface Proxy {
    /** What it leads from or to, for reports. */
    readonly name: string;
    /** Address and port where the path begins. */
    readonly address: string;
    set(state: PathState): void;
    /** Holds back all that calls with this fencing token send and are sent, until set to `undefined`. */
    silenceCaller(token: number | undefined): void;
    /** Breaks all open connections once. */
    breakAll(): void;
    /** Nothing passes any more on the connections that are open now, and none of them breaks. New ones work. */
    silenceOpen(): void;
    close(): void;
}

interface Connection {
    readonly sockets: readonly [client: Socket, server: Socket];
    /** Fencing token of the latest call; `undefined` if calls have none. */
    token: number | undefined;
    /** Silent for good; see `silenceOpen`. */
    isSilent: boolean;
    /** Pieces that are held back, with where they go. */
    readonly held: { readonly to: Socket; readonly data: Buffer; }[];
}

/** Starts a path to an address. */
export async function startProxy(name: string, target: string): Promise<Proxy> {
    const [host = "", port = ""] = target.split(":");
    const connections = new Set<Connection>();
    let state: PathState = { kind: "open" };
    let silentToken: number | undefined;

    const isSilenced = ({ token, isSilent }: Connection) => isSilent || (token !== undefined && token === silentToken);

    function forward(connection: Connection, to: Socket, data: Buffer, isAnswer: boolean): void {
        if (!isAnswer) {
            connection.token = findFencingToken(data) ?? connection.token;
        }
        if (isSilenced(connection)) {
            connection.held.push({ to, data });
            return;
        }
        switch (state.kind) {
            case "open":
            case "reset":
                to.write(data);
                return;
            case "delayed":
                setTimeout(() => to.write(data), state.delayMs);
                return;
            case "oneWay":
                if (isAnswer) {
                    connection.held.push({ to, data });
                }
                else {
                    to.write(data);
                }
                return;
            case "silent":
                connection.held.push({ to, data });
        }
    }

    /** Lets held pieces pass, except those of a caller that is silenced. */
    function release(): void {
        for (const connection of connections) {
            if (!isSilenced(connection)) {
                connection.held.splice(0).forEach(({ to, data }) => to.write(data));
            }
        }
    }

    function breakAll(): void {
        connections.forEach(({ sockets }) => sockets.forEach((socket) => socket.resetAndDestroy()));
    }

    const server = createServer((client) => {
        client.on("error", () => client.destroy());
        if (state.kind === "reset") {
            client.resetAndDestroy();
            return;
        }
        const onward = connect(Number(port), host);
        const connection: Connection = { sockets: [client, onward], token: undefined, isSilent: false, held: [] };
        connections.add(connection);
        client.on("data", (data: Buffer) => forward(connection, onward, data, false));
        onward.on("data", (data: Buffer) => forward(connection, client, data, true));
        onward.on("error", () => client.destroy());
        client.on("close", () => onward.destroy());
        onward.on("close", () => {
            connections.delete(connection);
            client.destroy();
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return {
        name,
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        set(next) {
            state = next;
            if (state.kind === "reset") {
                breakAll();
            }
            if (state.kind === "open") {
                release();
            }
        },
        silenceCaller(token) {
            silentToken = token;
            if (state.kind !== "silent" && state.kind !== "oneWay") {
                release();
            }
        },
        breakAll,
        silenceOpen: () => connections.forEach((connection) => connection.isSilent = true),
        close() {
            server.close();
            breakAll();
        },
    };
}
