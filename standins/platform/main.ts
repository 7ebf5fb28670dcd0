import type { AddressInfo } from "node:net";
import { createPlatformServer } from "./createPlatformServer";

const { server } = createPlatformServer();
server.listen(Number(process.argv[2] ?? 0), "127.0.0.1", () => {
    process.stdout.write(`listening ${(server.address() as AddressInfo).port}\n`);
});
