import type { AddressInfo } from "node:net";
import { createWorkerServer } from "./createWorkerServer";

const { server } = createWorkerServer({ slots: 8, rebootMs: 300 });
server.listen(Number(process.argv[2] ?? 0), "127.0.0.1", () => {
    process.stdout.write(`listening ${(server.address() as AddressInfo).port}\n`);
});
