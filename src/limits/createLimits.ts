import { pause } from "../clock";
import type { Configuration } from "../configuration";
import type { LimitView, Reporter } from "../logging";
import type { Members } from "../members";
import type { Metrics } from "../metrics";
import type { Peer, Peers } from "../peers";
import type { Platform } from "../platform";
import type { TaskSize } from "../workers";
import { emptyAllocation } from "./allocation";
import { type Allocator, createAllocator } from "./createAllocator";
import { createEndedBoots } from "./createEndedBoots";
import { createLocalHolder } from "./createLocalHolder";
import { createPeerCapacity } from "./createPeerCapacity";
import { createWaitReports } from "./createWaitReports";
import type { Limits } from "./limits";
import {
    type AskMessage,
    askMessageSchema,
    holdingSchema,
    limitTopics,
    roomsSchema,
    type SlicesMessage,
    slicesSchema,
    voidSchema,
} from "./messages";
import { limitOf } from "./planLedger";
import { readDivisions } from "./readDivisions";
import { pickAllocator, shardCount, shardOf } from "./shards";
import { fitsWithin, toTaskUnits, zeroUnits } from "./units";

export interface LimitsOptions {
    readonly configuration: Pick<Configuration, "state" | "onChange">;
    readonly platform: Platform;
    readonly members: Members;
    readonly peers: Peers;
    readonly metrics?: Metrics;
    readonly report?: Reporter;
    /** Longest lease of this entry's tasks. */
    readonly leaseMs: number;
}

const tickMs = 250;
const ticksPerCheck = 4;
/** Batches changes into one report. */
const reportDelayMs = 3;
/** A holder with nothing to report still sends heartbeats. */
const idleReportIntervalMs = 5000;
const urgentReportIntervalMs = 250;
/** If the allocator has not acted for this long, this entry writes its own change. */
const takeOverAfterMs = 800;
const maxStopMs = 2000;

interface ShardReporting {
    sentAtMs: number;
    sentTo: string | undefined;
    urgentSinceMs: number | undefined;
    reportTimer: NodeJS.Timeout | undefined;
}

/** Divides each team's limit over the entries, and counts this entry's tasks against its slices. */
export function createLimits(opts: LimitsOptions): Limits {
    const { peers, members, configuration } = opts;
    const { boot } = peers.self;
    const listeners = new Set<(team: string) => void>();
    const peerCapacity = createPeerCapacity(peers);
    const timers = new Set<NodeJS.Timeout>();
    const endedBoots = createEndedBoots(members);
    const report: Reporter = opts.report ?? (() => {});
    const waitReports = createWaitReports({ report, view: viewOf });
    const holder = createLocalHolder({
        leaseMs: opts.leaseMs,
        limitOf: ownLimitOf,
        onReportNeeded: scheduleReport,
        onCapacityAvailable: notifyListeners,
    });
    const allocators = Array.from({ length: shardCount }, (_, shard) => createShardAllocator(shard));
    const reportingByShard = Array.from({ length: shardCount }, (): ShardReporting => ({
        sentAtMs: -Infinity,
        sentTo: undefined,
        urgentSinceMs: undefined,
        reportTimer: undefined,
    }));
    let ticks = 0;
    let ticker: NodeJS.Timeout | undefined;

    function ownLimitOf(team: string) {
        const state = configuration.state();
        return state === undefined ? zeroUnits : limitOf(state, team);
    }

    function notifyListeners(team: string): void {
        listeners.forEach((listener) => listener(team));
    }

    function eligible(): readonly string[] {
        const connected = new Set([boot, ...peers.connected().map((peer) => peer.boot)]);
        return (members.recorded() ?? []).map((peer) => peer.boot)
            .filter((each) => connected.has(each) && !members.hasEnded(each));
    }

    function createShardAllocator(shard: number): Allocator {
        return createAllocator({
            platform: opts.platform,
            shard,
            state: () => configuration.state(),
            eligible,
            endedBoots,
            sendAsk: (to, message) => to === boot ? receiveAsk(boot, message) : send(to, limitTopics.ask, message),
            sendSlices: (to, message) => to === boot ? receiveSlices(message) : send(to, limitTopics.slices, message),
            sendVoid: (to, message) =>
                to === boot ? holder.handleVoid(message, boot) : send(to, limitTopics.void, message),
            sendRooms: (to, message) =>
                to === boot ? peerCapacity.update(message) : send(to, limitTopics.rooms, message),
            onWrite: (result) => opts.metrics?.limitWrites.inc({ result }),
            onReclaimed: (endedBoot) => report({ kind: "limitReclaimed", shard, endedBoot }),
        });
    }

    function viewOf(team: string): LimitView {
        const shard = shardOf(team);
        const { slices, ...allocation } = allocators[shard]?.view(team) ?? emptyAllocation;
        const endedForMs = Object.keys(slices).map((each) => [each, endedBoots.endedForMs(each)] as const);
        return {
            shard,
            allocator: pickAllocator(shard, eligible()) ?? boot,
            ...holder.view(team),
            ...allocation,
            slices,
            endedForMs: Object.fromEntries(endedForMs.flatMap(([each, ms]) => ms === undefined ? [] : [[each, ms]])),
        };
    }

    /** Teams whose tasks wait here, or at holders of a shard that this entry writes. */
    function findWaitingTeams(boots: readonly string[]): ReadonlySet<string> {
        const elsewhere = allocators.flatMap((allocator, shard) =>
            pickAllocator(shard, boots) === boot ? allocator.waitingTeams() : []
        );
        return new Set([...holder.waitingTeams(), ...elsewhere]);
    }

    function send(to: string, topic: string, message: unknown): void {
        peers.send(to, topic, message);
    }

    function receiveAsk(from: string, message: AskMessage): void {
        holder.handleAsk(message);
        sendReport(message.shard, from);
    }

    function receiveSlices(message: SlicesMessage): void {
        holder.applySlices(message);
        if (holder.hasPendingRelease(message.shard)) {
            scheduleReport(message.shard);
        }
    }

    function sendReport(shard: number, to: string): void {
        const message = holder.createReport(shard);
        holder.recordSent(shard, to);
        if (to === boot) {
            allocators[shard]?.handleHolding(boot, message);
        }
        else {
            send(to, limitTopics.holding, message);
        }
    }

    function reportToDivider(shard: number): void {
        const at = reportingByShard[shard];
        const to = pickAllocator(shard, eligible()) ?? boot;
        if (at !== undefined) {
            at.sentAtMs = performance.now();
            at.sentTo = to;
        }
        sendReport(shard, to);
    }

    function scheduleReport(shard: number): void {
        const at = reportingByShard[shard];
        if (at !== undefined && ticker !== undefined) {
            at.reportTimer ??= setTimeout(() => {
                at.reportTimer = undefined;
                reportToDivider(shard);
            }, reportDelayMs);
        }
    }

    function tickShard(shard: number, at: ShardReporting, boots: readonly string[]): void {
        const now = performance.now();
        const isUrgent = holder.isUrgent(shard);
        at.urgentSinceMs = isUrgent ? at.urgentSinceMs ?? now : undefined;
        const hasNewAllocator = at.sentTo !== (pickAllocator(shard, boots) ?? boot);
        if (hasNewAllocator || now - at.sentAtMs >= (isUrgent ? urgentReportIntervalMs : idleReportIntervalMs)) {
            reportToDivider(shard);
        }
        // The allocator may be partitioned from the platform, frozen, or ended without anyone having noticed.
        if (at.urgentSinceMs !== undefined && now - at.urgentSinceMs >= takeOverAfterMs && at.sentTo !== boot) {
            sendReport(shard, boot);
        }
    }

    function tick(): void {
        ticks++;
        holder.waitingTeams().forEach(notifyListeners);
        const boots = eligible();
        reportingByShard.forEach((at, shard) => tickShard(shard, at, boots));
        waitReports.update(findWaitingTeams(boots));
        opts.metrics?.limitWaitSeconds.set(waitReports.longestWaitMs() / 1000);
        if (ticks % ticksPerCheck === 0) {
            checkOwnShards();
        }
    }

    function checkOwnShards(): void {
        const boots = eligible();
        allocators.filter((_, shard) => pickAllocator(shard, boots) === boot).forEach((allocator) => allocator.check());
    }

    function registerMessageHandlers(): void {
        peers.onMessage(limitTopics.holding, (from, body) => {
            const { data } = holdingSchema.safeParse(body);
            if (data !== undefined) {
                allocators[data.shard]?.handleHolding(from.boot, data);
            }
        });
        peers.onMessage(limitTopics.ask, (from, body) => {
            const { data } = askMessageSchema.safeParse(body);
            if (data !== undefined && data.shard < shardCount) {
                receiveAsk(from.boot, data);
            }
        });
        peers.onMessage(limitTopics.slices, (_from, body) => {
            const { data } = slicesSchema.safeParse(body);
            if (data !== undefined && data.shard < shardCount) {
                receiveSlices(data);
            }
        });
        peers.onMessage(limitTopics.void, (from, body) => {
            const { data } = voidSchema.safeParse(body);
            if (data !== undefined && data.shard < shardCount) {
                holder.handleVoid(data, from.boot);
            }
        });
        peers.onMessage(limitTopics.rooms, (_from, body) => {
            const { data } = roomsSchema.safeParse(body);
            if (data !== undefined) {
                peerCapacity.update(data);
                notifyListeners(data.team);
            }
        });
    }

    return {
        tryAcquire(team, size, requestId) {
            // A boot that was removed from the member record may have lost its slices. If this one was removed by
            // mistake and still runs, it reserves nothing.
            const hold = members.hasEnded(boot) ? undefined : holder.tryAcquire(team, size);
            if (requestId !== undefined && hold === undefined) {
                holder.recordDemand(team, size, requestId);
            }
            else if (requestId !== undefined) {
                holder.dropDemand(team, requestId);
            }
            return hold;
        },
        release: holder.release,
        releaseAfter(hold, delayMs) {
            const timer = setTimeout(() => {
                timers.delete(timer);
                holder.release(hold);
            }, delayMs);
            timers.add(timer);
        },
        isNeverPossible: (team, size) => !fitsWithin(toTaskUnits(size), ownLimitOf(team)),
        recordDemand: (team, size, requestId = "") => holder.recordDemand(team, size, requestId),
        hasFreeCapacity: (team, size) => fitsWithin(toTaskUnits(size), holder.freeCapacityOf(team)),
        findPeerWithCapacity: (team: string, size: TaskSize): Peer | undefined => peerCapacity.find(team, size),
        onCapacityAvailable(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        readDivisions: () => readDivisions(opts.platform, configuration.state(), members),
        start() {
            registerMessageHandlers();
            // A new team has no capacity until its limit is divided. If the platform goes down before that, it has
            // none for a long time.
            configuration.onChange(checkOwnShards);
            ticker = setInterval(tick, tickMs);
            tick();
        },
        async stop() {
            holder.leave();
            const endAtMs = performance.now() + maxStopMs;
            while (!holder.isEmpty() && performance.now() < endAtMs) {
                reportingByShard.forEach((_, shard) => {
                    if (holder.hasPendingRelease(shard)) {
                        reportToDivider(shard);
                    }
                });
                await pause(tickMs);
            }
            clearInterval(ticker);
            ticker = undefined;
            allocators.forEach((allocator) => allocator.stop());
            timers.forEach((timer) => clearTimeout(timer));
            reportingByShard.forEach(({ reportTimer: gathering }) => clearTimeout(gathering));
        },
    };
}
