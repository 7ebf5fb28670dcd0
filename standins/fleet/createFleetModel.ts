import FakeTimers, { type Clock } from "@sinonjs/fake-timers";
import { type Configuration, createConfiguration } from "../../src/configuration";
import { createExecutor, type ExecutorTiming } from "../../src/executor";
import { createPlan, intentSchema } from "../../src/plans";
import { createKeyWatcher } from "../../src/platform";
import type { Command, FleetState } from "../../src/state";
import type { Workers } from "../../src/workers";
import { createFakeNetwork, createFakePlatform, createFakeWorkers } from "../fakes";
import { createGate, type Gate } from "./createGate";
import { createJudge, type Judge } from "./createJudge";

export interface ModelEntry {
    readonly boot: string;
    readonly gate: Gate;
    readonly configuration: Configuration;
    readonly workers: Workers;
    kill(): void;
}

export interface ModelPool {
    readonly name: string;
    readonly maxUnavailable: number;
    readonly reserve?: number;
    readonly instances: number;
}

export interface ModelOptions {
    readonly entries: number;
    readonly pools: readonly ModelPool[];
    readonly perRack?: number;
    readonly zones?: number;
    readonly timing?: Partial<ExecutorTiming>;
}

const retryMs = 500;
const judgeRetryMs = 50;
const watchMs = 20_000;
const setImmediateOfNode = setImmediate;

/** Entries, workers and the platform of one test, on a paused clock. */
export async function createFleetModel(opts: ModelOptions) {
    const clock: Clock = FakeTimers.install({
        now: 1_000_000,
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    const platform = createFakePlatform();
    const network = createFakeNetwork();
    const workers = createFakeWorkers();
    const entries: ModelEntry[] = [];
    const events: Record<string, unknown>[] = [];

    function connectConfiguration(client: string, gate?: Gate): Configuration {
        const connected = platform.connect(client);
        const gated = gate?.wrapPlatform(connected) ?? connected;
        const watcher = createKeyWatcher({
            platform: gated,
            watchMs,
            retryMs: gate === undefined ? judgeRetryMs : retryMs,
        });
        const configuration = createConfiguration({ platform: gated, watcher });
        watcher.start();
        return configuration;
    }

    const operator = connectConfiguration("operator");
    const judge: Judge = createJudge(workers, operator);

    function addEntry(): ModelEntry {
        const at = entries.length;
        const boot = `boot-${at}`;
        const gate = createGate(() => network.frozen.add(boot));
        const peers = network.connect({
            boot,
            instance: `entry-${at}`,
            region: "north",
            zone: `zone-${at % (opts.zones ?? 1)}`,
            peerUrl: `ws://${boot}`,
        });
        const configuration = connectConfiguration(boot, gate);
        const connected = workers.connect(boot);
        const executor = createExecutor({
            configuration,
            peers,
            platform: gate.wrapPlatform(platform.connect(boot)),
            workers: gate.wrapWorkers(connected),
            report: (event) => void events.push({ ...event, boot }),
            timing: { tickMs: 1000, probeEveryMs: 2000, probesPerRound: 4, ...opts.timing },
        });
        executor.start();
        judge.watchEntry(boot, configuration);
        const entry: ModelEntry = {
            boot,
            gate,
            configuration,
            workers: connected,
            kill() {
                gate.kill();
                void executor.stop();
                network.remove(boot);
            },
        };
        entries.push(entry);
        return entry;
    }

    /** Lets the clock run; every timer that is due fires, and all that follows from it is done before the next. */
    async function run(ms: number, isOver: () => boolean = () => false): Promise<void> {
        let isEnd = false;
        const end = setTimeout(() => isEnd = true, ms);
        while (!isEnd && !isOver()) {
            await new Promise((resolve) => setImmediateOfNode(resolve));
            clock.next();
        }
        clearTimeout(end);
        await new Promise((resolve) => setImmediateOfNode(resolve));
    }

    async function settle<T>(promise: Promise<T>): Promise<T> {
        let isOver = false;
        void promise.finally(() => isOver = true);
        await run(3_600_000, () => isOver);
        return promise;
    }

    async function appendAs(by: string, command: Command) {
        return settle(operator.append({ by, reason: "test", command }));
    }

    function state(): FleetState {
        return operator.state()!;
    }

    /** Confirms what an intent asks for; `undefined` where it is refused. */
    async function tryConfirm(intent: unknown): Promise<string | undefined> {
        const plan = createPlan(state(), intentSchema.parse(intent));
        const appended = plan.refusals.length > 0
            ? undefined
            : await appendAs("operator", { kind: "confirmPlan", plan });
        return appended?.isRight() || state().plans[plan.id] !== undefined ? plan.id : undefined;
    }

    /** States an intent and confirms its plan as it stands. */
    async function confirm(intent: unknown, by = "operator"): Promise<string> {
        const plan = createPlan(state(), intentSchema.parse(intent));
        const appended = await appendAs(by, { kind: "confirmPlan", plan });
        appended.ifLeft(({ detail }) => {
            throw new Error(detail);
        });
        return plan.id;
    }

    await appendAs("operator", { kind: "change", changes: createFleetChanges(opts) });
    Object.keys(state().instances).forEach((name) => workers.add(name));
    for (let at = 0; at < opts.entries; at++) {
        addEntry();
    }

    return {
        clock,
        platform,
        network,
        workers,
        entries,
        events,
        judge,
        state,
        run,
        settle,
        appendAs,
        confirm,
        tryConfirm,
        addEntry,
        wake(entry: ModelEntry) {
            entry.gate.wake();
            network.wake(entry.boot);
        },
        onState: operator.onChange,
        /** Calls the listener with each command that a client has written. */
        onCommand(listener: (client: string, command: Command) => void): void {
            platform.onWrite = (client, key, text) => {
                const records = key === "samphirepin/followed/log"
                    ? JSON.parse(text).records as { command: Command; }[]
                    : [];
                const newest = records.at(-1);
                if (newest !== undefined) {
                    listener(client, newest.command);
                }
            };
        },
        isFinished: (plan: string) => state().plans[plan]?.status.kind === "finished",
        stop() {
            entries.forEach((entry) => entry.kill());
            clock.uninstall();
        },
    };
}

export type FleetModel = Awaited<ReturnType<typeof createFleetModel>>;

function createFleetChanges({ pools, perRack = 4, zones = 1 }: ModelOptions) {
    const capacity = { processors: 32, memoryMb: 128_000, accelerators: 0 };
    let at = 0;
    return pools.flatMap(({ instances, ...pool }) => [
        { kind: "setPool", pool } as const,
        ...Array.from({ length: instances }, () => {
            const number = at++;
            const name = `worker-${String(number).padStart(3, "0")}`;
            const instance = {
                name,
                url: `http://${name}`,
                region: "north",
                zone: `zone-${Math.floor(number / perRack) % zones}`,
                rack: `rack-${Math.floor(number / perRack)}`,
                slots: 8,
                capacity,
                pool: pool.name,
            };
            return { kind: "addInstance", instance } as const;
        }),
    ]);
}
