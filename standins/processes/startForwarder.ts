import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A TCP path to a server, which a test can cut. */
export interface Forwarder {
    readonly url: string;
    /** Ends all connections and refuses further ones. */
    cut(): void;
    heal(): void;
    stop(): Promise<void>;
}

export async function startForwarder(targetUrl: string): Promise<Forwarder> {
    const target = new URL(targetUrl);
    const sockets = new Set<Socket>();
    let isCut = false;

    function keep(socket: Socket): void {
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
    }

    const server = createServer((socket) => {
        keep(socket);
        if (isCut) {
            socket.destroy();
            return;
        }
        const onward = connect(Number(target.port), target.hostname);
        keep(onward);
        socket.pipe(onward).pipe(socket);
        socket.on("close", () => onward.destroy());
        onward.on("close", () => socket.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const cut = () => {
        isCut = true;
        sockets.forEach((socket) => socket.destroy());
    };
    return {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        cut,
        heal: () => void (isCut = false),
        async stop() {
            cut();
            await new Promise((resolve) => server.close(resolve));
        },
    };
}
