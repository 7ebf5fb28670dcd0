import { Agent, request } from "undici";
import { pause } from "../src/clock";
import type { Random } from "../standins/random";
import { plainRoute } from "../standins/scheduling";
import { encodeSubmission } from "../standins/usersPlatform";
import { burstKey, keptKey, type World } from "./createWorld";
import { refusals } from "./judge";

/** What one client knows of a submission. */
export interface SubmissionStory {
    readonly id: string;
    readonly tasks: number;
    readonly isLasting: boolean;
    readonly key: string;
    readonly sentAtMs: number;
    /** Statuses of all tries to hand it in; 0: no answer. */
    readonly answers: number[];
    acceptedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    /** States that were shown, with when. */
    readonly shown: { readonly state: string; readonly atMs: number; readonly askedAtMs: number; }[];
}

export interface Clients {
    readonly stories: ReadonlyMap<string, SubmissionStory>;
    /** Hands in a submission, tries again until it is answered for good, and asks for its state from time to time. */
    submit(options: { readonly tasks: number; readonly isLasting?: boolean; readonly key?: string; }): Promise<void>;
    cancel(id: string): Promise<void>;
    close(): Promise<void>;
}

/** How long a client waits for an answer, in milliseconds. */
const timeoutMs = 3000;

/** Tries to hand a submission in, the first among them. */
const maxTries = 5;

const shortStep = { size: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 }, estimateMs: 400 };

/** Serves its own users; one of its tasks may be away by order. */
const lastingStep = {
    size: { cpuMillis: 500, memoryMb: 100, accelerators: 0 },
    isLongRunning: true,
    maxUnavailable: 1,
    maxPerWorker: 1,
};

/** Clients that are refused for load and do not try again, in hundredths. */
const givesUpPercent = 50;

/** Pause between tries and between questions, in milliseconds. */
const [retryMs, askMs] = [300, 900];

/** Clients over real connections, which they keep; each request goes to an entry that says it takes clients. */
export function createClients(world: World, random: Random): Clients {
    const agent = new Agent({ connections: 8, pipelining: 1 });
    const stories = new Map<string, SubmissionStory>();
    const ready = new Set(world.entries);
    let isClosed = false;
    let nextId = 1;

    async function watchReadiness(): Promise<void> {
        while (!isClosed) {
            await Promise.all(world.entries.map(async (entry) => {
                if (await entry.isReady()) {
                    ready.add(entry);
                }
                else {
                    ready.delete(entry);
                }
            }));
            await pause(500);
        }
    }

    async function call(method: "GET" | "POST" | "DELETE", id: string, key: string, body?: unknown) {
        const entries = ready.size > 0 ? [...ready] : world.entries;
        try {
            const answer = await request(
                `http://${random.pick(entries).fromClients.address}${plainRoute.pathPrefix}${id}`,
                {
                    dispatcher: agent,
                    method,
                    headers: {
                        host: plainRoute.host,
                        authorization: `Bearer ${key}`,
                        "x-deadline-ms": String(timeoutMs),
                        ...body === undefined ? {} : { "content-type": "application/json" },
                    },
                    ...body === undefined ? {} : { body: JSON.stringify(body) },
                    headersTimeout: timeoutMs,
                    bodyTimeout: timeoutMs,
                },
            );
            const text = await answer.body.text();
            return { status: answer.statusCode, body: text === "" ? {} : JSON.parse(text) as { state?: string; } };
        }
        catch {
            // Broken, refused or out of time: to a client all the same, no answer.
            return { status: 0, body: {} };
        }
    }

    async function ask(story: SubmissionStory): Promise<void> {
        const askedAtMs = performance.now();
        const { status, body } = await call("GET", story.id, validKey(story));
        const atMs = performance.now();
        if (status === 200 && "state" in body) {
            story.shown.push({ state: String(body.state), atMs, askedAtMs });
        }
        if (status === 410) {
            story.shown.push({ state: "gone", atMs, askedAtMs });
        }
    }

    async function cancel(id: string): Promise<void> {
        const story = stories.get(id);
        for (let tries = 0; tries < maxTries && story !== undefined && story.cancelledAtMs === undefined; tries++) {
            const { status } = await call("DELETE", id, validKey(story));
            if (status === 200 || status === 410 && story.acceptedAtMs === undefined) {
                story.cancelledAtMs = performance.now();
            }
            await pause(retryMs);
        }
    }

    void watchReadiness();
    return {
        stories,
        async submit({ tasks, isLasting = false, key = keptKey }) {
            const id = (nextId++).toString(16).padStart(16, isLasting ? "f" : "0");
            const story: SubmissionStory = {
                id,
                tasks,
                isLasting,
                key,
                sentAtMs: performance.now(),
                answers: [],
                acceptedAtMs: undefined,
                cancelledAtMs: undefined,
                shown: [],
            };
            stories.set(id, story);
            const body = encodeSubmission("work", [{ count: tasks, ...isLasting ? lastingStep : shortStep }]);
            for (let tries = 0; tries < maxTries && story.acceptedAtMs === undefined && !isClosed; tries++) {
                const { status } = await call("POST", id, key, body);
                story.answers.push(status);
                if (status === 200) {
                    story.acceptedAtMs = performance.now();
                }
                else if (status === 401 || status === 404) {
                    return;
                }
                else if (status === 429 && random.chance(givesUpPercent)) {
                    break;
                }
                else {
                    await pause(retryMs);
                }
            }
            if (!isClosed && isUnsettled(story)) {
                await cancel(id);
            }
            if (!isClosed && story.acceptedAtMs === undefined) {
                // A refused submission must stay unknown.
                await pause(askMs);
                await ask(story);
            }
            while (!isClosed && story.acceptedAtMs !== undefined && !isFinal(story)) {
                await pause(askMs);
                await ask(story);
            }
        },
        cancel,
        async close() {
            isClosed = true;
            await agent.destroy();
        },
    };
}

/** Whether a client that gives up does not know if its submission was stored, so that it cancels it. */
function isUnsettled({ answers, acceptedAtMs }: SubmissionStory): boolean {
    return acceptedAtMs === undefined && answers.some((status) => !refusals.has(status));
}

/** A key of the same account that is not taken away. */
function validKey({ key }: SubmissionStory): string {
    return key === burstKey ? burstKey : keptKey;
}

export function isFinal({ shown }: SubmissionStory): boolean {
    const state = shown.at(-1)?.state;
    return state === "complete" || state === "failed" || state === "cancelled";
}
