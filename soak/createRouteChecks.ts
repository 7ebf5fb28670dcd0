import { request } from "undici";
import { pause } from "../src/clock";
import { plainRoute } from "../standins/scheduling";
import { keptKey, type World } from "./createWorld";

/** An entry's answer to a request for the route that was added last. */
export interface RouteAnswer {
    readonly entry: string;
    readonly path: string;
    /** When the store acknowledged the route, and when the request was sent, in milliseconds of `performance.now`. */
    readonly confirmedAtMs: number;
    readonly sentAtMs: number;
    /** 0 for no answer. */
    readonly status: number;
}

export interface RouteChecks {
    readonly answers: readonly RouteAnswer[];
    /** Adds routes and asks every entry for them. */
    run(forMs: number): Promise<void>;
}

/** Pause between two routes that are added, in milliseconds. It leaves each time to be judged. */
const addEveryMs = 3500;

/** Pause between two requests to an entry, in milliseconds. */
const askEveryMs = 150;

/** How long a request may take, in milliseconds. */
const timeoutMs = 3000;

/** Adds routes in turn and asks each entry directly for the one that was added last, beside all other traffic. */
export function createRouteChecks(world: World): RouteChecks {
    const answers: RouteAnswer[] = [];

    async function ask(address: string, path: string): Promise<number> {
        try {
            const answer = await request(`http://${address}${path}`, {
                headers: { host: plainRoute.host, authorization: `Bearer ${keptKey}` },
                headersTimeout: timeoutMs,
                bodyTimeout: timeoutMs,
            });
            await answer.body.dump();
            return answer.statusCode;
        }
        catch {
            // The process is down, stopped or paused.
            return 0;
        }
    }

    return {
        answers,
        async run(forMs) {
            const endsAtMs = performance.now() + forMs;
            let newest = { path: plainRoute.pathPrefix, confirmedAtMs: performance.now() };
            const addRoutes = async () => {
                for (let count = 1; performance.now() < endsAtMs; count++) {
                    newest = { path: world.addRoute(`route-${count}`), confirmedAtMs: performance.now() };
                    await pause(addEveryMs);
                }
            };
            const askEntry = async (entry: string, address: string) => {
                while (performance.now() < endsAtMs) {
                    const asked = { ...newest, entry, sentAtMs: performance.now() };
                    answers.push({ ...asked, status: await ask(address, asked.path) });
                    await pause(askEveryMs);
                }
            };
            await Promise.all([
                addRoutes(),
                ...world.entries.map(({ name, clientAddress }) => askEntry(name, clientAddress)),
            ]);
        },
    };
}
