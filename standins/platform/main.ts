import { createFakeStore } from "../scheduling";
import { answerStoreCall, serveJson } from "../usersPlatform";

/**
 * The platform's store as a process of its own, by its published protocol. A test or the demo takes it down and brings it
 * back with `POST /control {"faults": {"isDown": true}}`.
 */
const client = "all";
const store = createFakeStore();
const connected = store.connect(client);
let isDown = false;

/** Leases end at most this much late, in milliseconds. */
const expireMs = 50;

void serveJson((request) => {
    if (request.path === "/control") {
        const { faults } = request.body as { faults?: { isDown?: boolean; }; };
        isDown = faults?.isDown ?? isDown;
        // Waiting watches end at once.
        store.setFault(client, isDown ? "refused" : undefined);
        return { status: 200, body: {} };
    }
    return isDown ? "drop" : answerStoreCall(connected, request);
}, Number(process.argv[2] ?? 0)).then(({ address }) => {
    setInterval(store.expireLeases, expireMs);
    process.stdout.write(`listening ${address.split(":")[1]}\n`);
});
