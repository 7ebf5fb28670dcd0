import type { FleetState, Instance, Step } from "../state";
import { createLoop, type Loop } from "./createLoop";
import { createProbeQueue } from "./createProbeQueue";
import type { ExecutorOptions, ExecutorTiming } from "./executor";
import { readInstanceList } from "./readInstanceList";

export interface HealthOptions extends ExecutorOptions {
    readonly timing: ExecutorTiming;
}

const probeTopic = "executor.probe";
const probeTimeoutMs = 4000;
const leastFailures = 3;
/** Entries asked for a second look before an instance is reported lost. */
const maxSecondLooks = 2;

interface Suspicion {
    readonly sinceMs: number;
    readonly failures: number;
}

/**
 * Probes serving and lost instances at a bounded rate, tells workers what they should know, and reports what is lost
 * and what has come back.
 */
export function createHealth(opts: HealthOptions): Loop {
    const { configuration, peers, workers, timing } = opts;
    const suspicions = new Map<string, Suspicion>();
    const goodAnswers = new Map<string, number>();
    const queue = createProbeQueue(peers, timing.probesPerRound);
    const list = readInstanceList(opts);

    peers.onRequest(probeTopic, async (_from, body) => {
        const instance = configuration.state()?.instances[String(body)];
        return instance !== undefined
            && (await workers.readUsage({ instance: instance.name, url: instance.url })).isRight();
    });

    async function run(): Promise<void> {
        const state = configuration.state();
        if (state === undefined) {
            return;
        }
        const due = queue.next(state, [...suspicions.keys()]);
        const probed = await Promise.all(due.map(probe));
        const listed = await list.read(state);
        const steps = [...probed, ...listed].filter((step) => step !== undefined);
        if (steps.length > 0) {
            await append(state, steps);
        }
    }

    async function probe(instance: Instance): Promise<Step | undefined> {
        const { name, url, assignmentNumber, pool, state } = instance;
        const usage = await workers.readUsage({ instance: name, url });
        if (usage.isLeft()) {
            goodAnswers.delete(name);
            return state.kind === "serving" ? suspect(instance) : undefined;
        }
        suspicions.delete(name);
        const seen = usage.unsafeCoerce();
        if (seen.assignmentNumber > assignmentNumber || seen.state === "rebooting") {
            return undefined;
        }
        if (seen.assignmentNumber < assignmentNumber || seen.state !== "serving") {
            goodAnswers.delete(name);
            await workers.sendCommand({ instance: name, url }, { kind: "serve", assignmentNumber, pool });
            return undefined;
        }
        return state.kind === "lost" && state.cause !== "leaving" ? proveRecovered(instance) : undefined;
    }

    function proveRecovered({ name, assignmentNumber }: Instance): Step | undefined {
        const good = (goodAnswers.get(name) ?? 0) + 1;
        goodAnswers.set(name, good);
        if (good < timing.healthyChecks) {
            return undefined;
        }
        goodAnswers.delete(name);
        return { kind: "reportRecovered", instance: name, assignmentNumber };
    }

    async function suspect({ name, assignmentNumber }: Instance): Promise<Step | undefined> {
        const known = suspicions.get(name) ?? { sinceMs: Date.now(), failures: 0 };
        const suspicion = { ...known, failures: known.failures + 1 };
        suspicions.set(name, suspicion);
        const silentMs = Date.now() - suspicion.sinceMs;
        if (suspicion.failures < leastFailures || silentMs < timing.silentLostMs || await isSeenByOthers(name)) {
            return undefined;
        }
        suspicions.delete(name);
        const detail = `no answer for ${silentMs} ms`;
        return { kind: "reportLost", cause: "silent", instance: name, assignmentNumber, detail };
    }

    /** This entry's own link may be what has failed; an instance that another entry can reach is not lost. */
    async function isSeenByOthers(name: string): Promise<boolean> {
        const others = peers.connected().slice(0, maxSecondLooks);
        const answers = await Promise.all(
            others.map(({ boot }) => peers.request(boot, probeTopic, name, probeTimeoutMs)),
        );
        return answers.some((answer) => answer.orDefault(false) === true);
    }

    async function append(state: FleetState, steps: readonly Step[]): Promise<void> {
        const request = { by: peers.self.boot, reason: "health", command: { kind: "steps", steps } } as const;
        const appended = await configuration.append(request);
        for (const step of steps) {
            if (appended.isRight() && "instance" in step) {
                const pool = state.instances[step.instance]?.pool ?? "";
                const reason = "detail" in step ? step.detail : "it answers again";
                opts.report({ kind: "instanceHealth", instance: step.instance, pool, step: step.kind, reason });
            }
        }
    }

    return createLoop(timing.probeEveryMs, run);
}
