import { pause } from "../src/clock";
import { createRandom, type Random } from "../standins/random";
import { type Clients, createClients, isFinal } from "./createClients";
import { createFaults } from "./createFaults";
import { createRouteChecks } from "./createRouteChecks";
import { burstKey, createWorld, keptKey, revokedKey } from "./createWorld";
import { judge, selectJudgedRoutes } from "./judge";

export interface SoakOptions {
    readonly seed: number;
    /** How long faults are injected, in milliseconds. */
    readonly faultsForMs: number;
    readonly entries: number;
    readonly workers: number;
}

export interface SoakResult {
    readonly seed: number;
    /** Promises that were broken; empty for none. */
    readonly broken: readonly string[];
    readonly accepted: number;
    readonly refused: number;
    /** Submissions of which a try was refused for load. */
    readonly overloaded: number;
    readonly starts: number;
    /** Requests for an added route that were judged by the bound on configurations. */
    readonly judgedRoutes: number;
    readonly faults: readonly string[];
    /** Folder with the entries' logs. */
    readonly folder: string;
}

/** Entries get this long to start before traffic begins, in milliseconds. */
const startMs = 1500;

/** Submissions come this often on the mean, in milliseconds. */
const submitMs = 180;

/** What was accepted has to end within this time after the last fault, in milliseconds. */
const settleMs = 20_000;

/** After this many of a hundred submissions, one that is open is cancelled. */
const cancelPercent = 15;

/** Submissions that come with the key that is taken away in the middle, in hundredths. */
const revokedKeyPercent = 20;

/** Submissions of a burst, and the mean pause between them, in milliseconds: tasks wait before the last ones are sent. */
const [burstSubmissions, burstPauseMs] = [40, 20];

/** Offset of the seeds of the stream that silences connections. */
const connectionStream = 1_000_000;

/** A task works this long, in milliseconds. */
const [shortestWorkMs, longestWorkMs] = [100, 1200];

/** One seeded run: real entries, traffic, faults, then calm; everything that was seen is judged at the end. */
export async function runSoak({ seed, faultsForMs, entries, workers }: SoakOptions): Promise<SoakResult> {
    // A stream for each, so that what clients draw as answers come does not change which faults follow.
    const [faultRandom, trafficRandom, clientRandom] = [0, 1, 2].map((stream) => createRandom(seed * 3 + stream)) as [
        Random,
        Random,
        Random,
    ];
    const world = await createWorld({ seed, entries, workers });
    const work = new Map<string, number>();
    world.platform.workers.setWorkMs((task) => {
        if (task.startsWith("f")) {
            return Number.POSITIVE_INFINITY;
        }
        const workMs = work.get(task) ?? clientRandom.int(shortestWorkMs, longestWorkMs);
        work.set(task, workMs);
        return workMs;
    });
    const clients = createClients(world, clientRandom);
    const faults = createFaults({
        world,
        random: faultRandom,
        // A stream of its own: seeds from before keep their faults.
        loadRandom: createRandom(-1 - seed),
        connectionRandom: createRandom(seed + connectionStream),
        cancelOne: () => cancelOne(clients, clientRandom),
        sendBurst: (random) => sendBurst(clients, random),
    });
    const routeChecks = createRouteChecks(world);
    try {
        await pause(startMs);
        void clients.submit({ tasks: 3, isLasting: true });
        const injecting = Promise.all([faults.run(faultsForMs), routeChecks.run(faultsForMs)]);
        await sendTraffic(clients, trafficRandom, faultsForMs);
        await injecting;
        const calmSinceMs = performance.now();
        const open = () => [...clients.stories.values()].filter((story) => story.acceptedAtMs && !isFinal(story));
        while (open().some(({ isLasting }) => !isLasting) && performance.now() - calmSinceMs < settleMs) {
            await pause(200);
        }
        const stories = [...clients.stories.values()];
        const { events } = world.platform.workers;
        const broken = judge({
            stories,
            events,
            revokedAtMs: faults.revokedAtMs(),
            routeAnswers: routeChecks.answers,
            disturbances: faults.disturbances,
            calmSinceMs,
            endedAtMs: performance.now(),
            tasksPerWorker: 4,
        });
        return {
            seed,
            broken,
            accepted: stories.filter(({ acceptedAtMs }) => acceptedAtMs !== undefined).length,
            refused: stories.filter(({ acceptedAtMs }) => acceptedAtMs === undefined).length,
            overloaded: stories.filter(({ answers }) => answers.includes(429)).length,
            judgedRoutes:
                selectJudgedRoutes({ routeAnswers: routeChecks.answers, disturbances: faults.disturbances }).length,
            starts: events.filter(({ kind }) => kind === "started").length,
            faults: faults.injected.map(({ atMs, text }) => `${Math.round(atMs)} ${text}`),
            folder: world.folder,
        };
    }
    finally {
        await clients.close();
        world.stop();
    }
}

async function sendTraffic(
    clients: Clients,
    random: Random,
    forMs: number,
): Promise<void> {
    const endsAtMs = performance.now() + forMs;
    while (performance.now() < endsAtMs) {
        await pause(random.int(submitMs / 2, submitMs * 1.5));
        void clients.submit({
            tasks: random.int(1, 4),
            key: random.chance(revokedKeyPercent) ? revokedKey : keptKey,
        });
        if (random.chance(cancelPercent)) {
            cancelOne(clients, random);
        }
    }
}

/** Sends many submissions of the second account, most of them beyond its rate. */
async function sendBurst(clients: Clients, random: Random): Promise<void> {
    for (let sent = 0; sent < burstSubmissions; sent++) {
        void clients.submit({ tasks: random.int(1, 4), key: burstKey });
        await pause(burstPauseMs);
    }
}

/** Cancels one of the open submissions, if there are any. */
function cancelOne(clients: Clients, random: Random): void {
    const open = [...clients.stories.values()].filter((story) =>
        story.acceptedAtMs !== undefined && !story.isLasting && !isFinal(story)
    );
    if (open.length > 0) {
        void clients.cancel(random.pick(open).id);
    }
}
