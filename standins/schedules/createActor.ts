import { decodeRecord, submissionKey } from "../../src/submissions";
import type { SchedulingEntry, SchedulingWorld, StoreFault, WorkerFault } from "../scheduling";
import type { Act, EntryChoice, Schedule } from "./schedule";

/** A process that was told to end is gone after this long, in milliseconds. */
const exitMs = 1000;

const usualAnswerMs = 4;

export interface Actor {
    /** Does an act; gives what ends it. */
    perform(act: Act): () => void;
    /** Entries that have neither been killed nor told to end. */
    live(): readonly SchedulingEntry[];
}

/** Does the acts of a schedule to a world. Faults of one target that overlap hold one after the other. */
export function createActor(world: SchedulingWorld, schedule: Schedule): Actor {
    const workerFaults = new Map<string, WorkerFault[]>();
    const storeFaults = new Map<string, StoreFault[]>();
    const evacuations = new Map<string, number>();
    let live: readonly SchedulingEntry[] = [];
    let added = 0;

    function addEntry(): void {
        live = [...live, world.addEntry(`entry-${++added}`)];
    }

    function addWorker(id: string): void {
        world.addWorker(id);
        const worker = world.workers.get(id);
        worker.clockRate = schedule.workers.get(id) ?? 1;
        worker.fault = workerFaults.get(id)?.at(-1);
    }

    function choose(choice: EntryChoice): SchedulingEntry | undefined {
        const owner = live.find((entry) => entry.scheduler() !== undefined);
        return choice === "owner" ? owner : live.find((entry) => entry !== owner);
    }

    /** The last process is not ended: then somebody would start another one at once. */
    function leave(choice: EntryChoice, how: (entry: SchedulingEntry) => void): void {
        const entry = choose(choice);
        if (entry !== undefined) {
            live = live.filter((other) => other !== entry);
            how(entry);
        }
        if (live.length === 0) {
            addEntry();
        }
    }

    function fail<F>(faults: Map<string, F[]>, target: string, fault: F, apply: (now: F | undefined) => void) {
        const list = faults.get(target) ?? [];
        faults.set(target, list);
        list.push(fault);
        apply(list.at(-1));
        return () => {
            list.splice(list.indexOf(fault), 1);
            apply(list.at(-1));
        };
    }

    function failStores(of: EntryChoice | "all", fault: StoreFault): () => void {
        const chosen = of === "all" ? live : [choose(of)].filter((entry) => entry !== undefined);
        const ends = chosen.map(({ name }) => fail(storeFaults, name, fault, (now) => world.store.setFault(name, now)));
        return () => ends.forEach((end) => end());
    }

    function failWorkers(ids: readonly string[], fault: WorkerFault): () => void {
        const ends = ids.map((id) => fail(workerFaults, id, fault, (now) => world.workers.get(id).fault = now));
        return () => ends.forEach((end) => end());
    }

    /** Of evacuations of one zone that overlap, the last to end ends them. */
    function evacuate(zone: string): () => void {
        const count = (change: number) => {
            const left = (evacuations.get(zone) ?? 0) + change;
            evacuations.set(zone, left);
            world.evacuate(zone, left > 0);
        };
        count(1);
        return () => count(-1);
    }

    function cancel(id: string): void {
        const record = decodeRecord(world.store.get(submissionKey(id))?.text ?? "");
        if (record?.kind === "open") {
            world.cancel(id);
        }
    }

    function freeze(entries: readonly SchedulingEntry[]): () => void {
        entries.forEach((entry) => entry.freeze());
        return () => entries.forEach((entry) => entry.wake());
    }

    function cutLink(from: SchedulingEntry | undefined, to: SchedulingEntry | undefined): () => void {
        const link = `${from?.name ?? ""}>${to?.name ?? ""}`;
        world.network.cuts.add(link);
        return () => world.network.cuts.delete(link);
    }

    /** Removes a worker's entry in the store; gives what writes it again. */
    function unlist(worker: string): () => void {
        const key = `workers/${worker}`;
        const { text } = world.store.get(key) ?? {};
        world.store.remove(key);
        return () => {
            if (text !== undefined && world.store.get(key) === undefined) {
                world.store.put(key, text);
            }
        };
    }

    function crash(worker: string, isUnlisted: boolean): () => void {
        world.workers.get(worker).crash();
        if (isUnlisted) {
            world.store.remove(`workers/${worker}`);
        }
        return () => {
            // Another crash may have ended meanwhile.
            world.workers.get(worker).crash();
            addWorker(worker);
        };
    }

    function perform(act: Act): () => void {
        switch (act.kind) {
            case "cancel":
                cancel(act.id);
                return nothing;
            case "workerFault":
                return failWorkers(act.workers, act.fault);
            case "crash":
                return crash(act.worker, act.isUnlisted);
            case "unlist":
                return unlist(act.worker);
            case "loseStarts":
                world.workers.get(act.worker).lostStarts += act.count;
                return nothing;
            case "storeFault":
                if (act.isPausingLeases) {
                    world.store.pauseLeases(act.forMs);
                }
                return failStores(act.of, act.fault);
            case "slowStore":
                world.store.setAnswerMs(act.answerMs);
                return () => world.store.setAnswerMs(usualAnswerMs);
            case "forgetHistory":
                world.store.forgetHistory();
                return nothing;
            case "cutWatches":
                world.store.cutWatches();
                return nothing;
            case "kill":
                leave(act.entry, (entry) => entry.kill());
                return nothing;
            case "stop":
                leave(act.entry, (entry) => {
                    entry.stop();
                    setTimeout(() => entry.kill(), exitMs);
                });
                return nothing;
            case "freeze":
                return freeze([choose(act.entry)].filter((entry) => entry !== undefined));
            case "cutPeer":
                return cutLink(choose("owner"), choose("other"));
            case "freezePeers":
                return freeze(live.filter((entry) => entry !== choose("owner")));
            case "unfit": {
                const owner = choose("owner");
                owner?.setFit(false);
                return () => owner?.setFit(true);
            }
            case "addEntry":
                addEntry();
                return nothing;
            case "evacuate":
                return evacuate(act.zone);
        }
    }

    schedule.zones.forEach((zone, id) => world.zones.set(id, zone));
    schedule.workers.forEach((_, id) => addWorker(id));
    Array.from({ length: schedule.entries }, addEntry);
    return { perform, live: () => live };
}

function nothing(): void {}
