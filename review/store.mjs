import { serveJson } from "./serveJson.mjs";

/** Time that each call takes, in milliseconds, as on the sheets. */
const answerMs = 4;

const pageItems = 500;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * The platform's store by PROTOCOL.md: one revision counter, conditional transactions, watches and leases.
 *
 * `onTransaction(client, body, apply)` may replace the usual handling of a transaction; it returns what `serveJson`
 * takes, and `apply()` carries the transaction out. Calls for which `isUnanswered` returns true are not carried out.
 */
export function createStore({ onTransaction, isUnanswered } = {}) {
    const items = new Map();
    const leases = new Map();
    const history = [];
    const waiters = new Set();
    const servers = [];
    let revision = 10;
    let nextLease = 1;

    function write(key, value, lease = 0) {
        if (value === undefined) {
            items.delete(key);
            history.push({ key, revision, deleted: true });
            return;
        }
        const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
        items.set(key, item);
        history.push(item);
    }

    function wake() {
        [...waiters].forEach((waiter) => waiter());
    }

    function endLease(id) {
        const isKnown = leases.delete(id);
        const ended = [...items.values()].filter(({ lease }) => lease === id);
        if (ended.length > 0) {
            revision++;
            ended.forEach(({ key }) => write(key, undefined));
            wake();
        }
        return isKnown;
    }

    function expireLeases() {
        for (const [id, { endsAtMs }] of leases) {
            if (endsAtMs <= performance.now()) {
                endLease(id);
            }
        }
    }

    function transact({ expected = [], puts = [], deletes = [] }) {
        expireLeases();
        if (!expected.every((each) => (items.get(each.key)?.revision ?? 0) === each.revision)) {
            return { status: 412, body: { items: expected.flatMap(({ key }) => items.get(key) ?? []) } };
        }
        if (puts.some(({ lease }) => lease && !leases.has(lease))) {
            return { status: 404, body: {} };
        }
        revision++;
        puts.forEach(({ key, value, lease }) => write(key, value, lease));
        deletes.filter((key) => items.has(key)).forEach((key) => write(key, undefined));
        wake();
        return { status: 200, body: { revision } };
    }

    async function watch(query) {
        const [prefix, after] = [query.get("prefix"), Number(query.get("after"))];
        const endsAtMs = performance.now() + Number(query.get("waitMs") ?? 0);
        for (;;) {
            const events = history.filter((event) => event.revision > after && event.key.startsWith(prefix));
            const leftMs = endsAtMs - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return { status: 200, body: { events, storeRevision: revision } };
            }
            let waiter;
            let timer;
            await new Promise((resolve) => {
                waiter = resolve;
                waiters.add(waiter);
                timer = setTimeout(resolve, leftMs);
            });
            waiters.delete(waiter);
            clearTimeout(timer);
        }
    }

    function range(query) {
        const prefix = query.get("prefix");
        const after = query.get("after") ?? "";
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return {
            status: 200,
            body: { items: found.slice(0, pageItems), hasMore: found.length > pageItems, storeRevision: revision },
        };
    }

    async function answer(client, { method, path, query, body }) {
        expireLeases();
        if (path === "/kv-watch") {
            return watch(query);
        }
        await pause(answerMs);
        if (isUnanswered?.(client, method, path, query) === true) {
            return undefined;
        }
        expireLeases();
        const id = Number(path.slice(path.lastIndexOf("/") + 1));
        switch (`${method} ${path.replace(/\/\d+$/, "/")}`) {
            case "GET /kv-key": {
                const item = items.get(query.get("key"));
                return item === undefined ? { status: 404, body: {} } : { status: 200, body: item };
            }
            case "GET /kv-range":
                return range(query);
            case "POST /kv-txn": {
                const apply = () => transact(body);
                return onTransaction === undefined ? apply() : onTransaction(client, body, apply);
            }
            case "POST /kv-lease": {
                const lease = nextLease++;
                leases.set(lease, { ttlMs: body.ttlMs, endsAtMs: performance.now() + body.ttlMs });
                return { status: 200, body: { lease, ttlMs: body.ttlMs } };
            }
            case "POST /kv-keep/": {
                const lease = leases.get(id);
                if (lease === undefined) {
                    return { status: 404, body: {} };
                }
                lease.endsAtMs = performance.now() + lease.ttlMs;
                return { status: 200, body: { ttlMs: lease.ttlMs } };
            }
            case "DELETE /kv-lease-end/":
                return endLease(id) ? { status: 200, body: {} } : { status: 404, body: {} };
            default:
                return { status: 404, body: {} };
        }
    }

    const timer = setInterval(expireLeases, 20);
    return {
        /** Opens the way of one client to the store; returns its address. */
        async connect(client) {
            const server = await serveJson((request) => answer(client, request));
            servers.push(server);
            return server.address;
        },
        put(key, value) {
            revision++;
            write(key, Buffer.from(JSON.stringify(value)).toString("base64"));
            wake();
        },
        remove(key) {
            if (items.has(key)) {
                revision++;
                write(key, undefined);
                wake();
            }
        },
        read(key) {
            const item = items.get(key);
            return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, "base64").toString());
        },
        close() {
            clearInterval(timer);
            servers.forEach((server) => server.close());
        },
    };
}
