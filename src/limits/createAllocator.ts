import { pause } from "../clock";
import type { FleetState } from "../state";
import type { Allocation } from "./allocation";
import type { EndedBoots } from "./createEndedBoots";
import { createLedgerStore, type LedgerStoreOptions } from "./createLedgerStore";
import { findShortages, type Shortage } from "./findShortage";
import { emptyLedger, type Ledger } from "./ledger";
import type {
    AskMessage,
    HoldingMessage,
    Release,
    RoomsMessage,
    SlicesMessage,
    TeamReport,
    VoidMessage,
} from "./messages";
import { hasGrown, isSameSlices, type LedgerInput, planLedger } from "./planLedger";
import { clampUnits, isZeroUnits, subtractUnits, zeroUnits } from "./units";

export interface AllocatorOptions extends LedgerStoreOptions {
    readonly shard: number;
    readonly state: () => FleetState | undefined;
    /** Boots whose slices may grow: recorded as members, not ended, and connected now. */
    readonly eligible: () => readonly string[];
    readonly endedBoots: EndedBoots;
    readonly sendAsk: (boot: string, message: AskMessage) => void;
    readonly sendSlices: (boot: string, message: SlicesMessage) => void;
    readonly sendVoid: (boot: string, message: VoidMessage) => void;
    readonly sendRooms: (boot: string, message: RoomsMessage) => void;
    /** Called with each ended boot whose slices were reclaimed. */
    readonly onReclaimed?: (boot: string) => void;
}

/**
 * Writes the ledger of one shard. Several entries may do so at once, for example during a partition; compare-and-swap
 * keeps their writes consistent.
 */
export interface Allocator {
    handleHolding(boot: string, message: HoldingMessage): void;
    /**
     * Starts a round if something has to be done that no message reports: a new limit, an ended boot, an uneven
     * spread.
     */
    check(): void;
    /** Teams with waiting tasks, by recent reports of holders. */
    waitingTeams(): readonly string[];
    view(team: string): Allocation;
    stop(): void;
}

interface Holding {
    readonly atMs: number;
    readonly message: HoldingMessage;
}

const minRoundIntervalMs = 100;
const askReplyWaitMs = 25;
/** Waiting tasks and free capacity of older reports are ignored. */
const maxWaitingAgeMs = 2000;
/** Usage stays valid longer: it changes less than waiting tasks, and holders report it at least every 5 s. */
const maxUsageAgeMs = 6000;
const failureRetryMs = 1000;
const maxAskBackoffMs = 1000;
/**
 * Age above which the copy of the ledger is read again while holders wait or release. An old copy may show enough
 * capacity for the tasks that wait; nothing would then be written, and no conflict would show that the copy is old.
 */
const maxCopyAgeMs = 1000;
const unevenAskIntervalMs = 5000;

export function createAllocator(opts: AllocatorOptions): Allocator {
    const { shard } = opts;
    const store = createLedgerStore(opts);
    const holdings = new Map<string, Holding>();
    const releases = new Map<string, Release>();
    /** Number of each boot's newest release that this entry has promised never to write. */
    const voidedReleaseNumbers = new Map<string, number>();
    /**
     * Base revision of a write whose response was lost. The write can still take effect while the ledger is at that
     * revision.
     */
    let unresolvedWriteRevision: number | undefined;
    const lastGrowthAtMsByBoot = new Map<string, number>();
    let isRoundRunning = false;
    let isRoundRequested = false;
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    let lastRoundAtMs = -Infinity;
    let askBackoffMs = minRoundIntervalMs;
    let lastAskAtMs = -Infinity;
    let lastUnevenAskAtMs = -Infinity;

    function createLedgerInput(state: FleetState, ledger: Ledger): LedgerInput {
        const now = performance.now();
        const fresh = [...holdings].filter(([, { atMs }]) => now - atMs < maxUsageAgeMs);
        const leaving = new Set(fresh.filter(([, { message }]) => message.isLeaving).map(([boot]) => boot));
        return {
            shard,
            state,
            reports: new Map(fresh.map(([boot, { atMs, message }]) => [
                boot,
                now - atMs < maxWaitingAgeMs ? message.reports : withoutWaiting(message.reports),
            ])),
            releases,
            leasesMs: new Map([...holdings].map(([boot, { message }]) => [boot, message.leaseMs])),
            eligible: opts.eligible().filter((boot) => holdings.has(boot) && !leaving.has(boot)).sort(
                byLeastRecentGrowth,
            ),
            reclaimable: opts.endedBoots.findReclaimable(ledger),
        };
    }

    /** If a limit is smaller than the number of boots, a fixed order would starve the same boots forever. */
    function byLeastRecentGrowth(a: string, b: string): number {
        return (lastGrowthAtMsByBoot.get(a) ?? 0) - (lastGrowthAtMsByBoot.get(b) ?? 0) || (a < b ? -1 : 1);
    }

    function sendSlices(boot: string): void {
        const { ledger, revision } = store.cached();
        if (ledger === undefined || revision === 0) {
            return;
        }
        opts.sendSlices(boot, {
            shard,
            revision,
            releaseNumber: ledger.holders[boot]?.releaseNumber ?? 0,
            slices: Object.fromEntries(
                Object.entries(ledger.teams).flatMap(([team, { slices }]) => {
                    const slice = slices[boot];
                    return slice === undefined ? [] : [[team, slice]];
                }),
            ),
        });
    }

    function schedule(delayMs: number): void {
        if (isStopped || timer !== undefined) {
            return;
        }
        timer = setTimeout(() => {
            timer = undefined;
            void run();
        }, delayMs);
    }

    function requestRound(): void {
        isRoundRequested = true;
        if (!isRoundRunning) {
            schedule(Math.max(1, lastRoundAtMs + minRoundIntervalMs - performance.now()));
        }
    }

    async function run(): Promise<void> {
        if (isRoundRunning || isStopped) {
            return;
        }
        isRoundRunning = true;
        isRoundRequested = false;
        lastRoundAtMs = performance.now();
        const next = await runRound();
        isRoundRunning = false;
        switch (next) {
            case "done":
                return isRoundRequested ? requestRound() : undefined;
            case "soon":
                return schedule(minRoundIntervalMs);
            case "failed":
                return schedule(failureRetryMs);
        }
    }

    async function runRound(): Promise<"done" | "soon" | "failed"> {
        const state = opts.state();
        if (state === undefined) {
            return "done";
        }
        if (!(await store.refresh(hasPendingWork() ? maxCopyAgeMs : Infinity))) {
            voidReleases();
            await offerPeerCapacity();
            return hasPendingWork() ? "failed" : "done";
        }
        const { ledger = emptyLedger } = store.cached();
        const shortages = findShortages(
            planLedger(ledger, createLedgerInput(state, ledger)),
            createLedgerInput(state, ledger),
        );
        if (await sendAsksIfDue(shortages)) {
            await pause(askReplyWaitMs);
        }
        const written = await writeNext();
        if (written !== "done") {
            return written;
        }
        return shortages.some(({ isUrgent }) => isUrgent) ? "soon" : "done";
    }

    async function writeNext(): Promise<"done" | "soon" | "failed"> {
        const state = opts.state();
        const { ledger: before = emptyLedger } = store.cached();
        if (state === undefined) {
            return "done";
        }
        const planned = planLedger(before, createLedgerInput(state, before));
        if (planned === before) {
            return "done";
        }
        const { revision } = store.cached();
        const result = await store.write(planned);
        unresolvedWriteRevision = result === "unknown" ? revision : unresolvedWriteRevision;
        const { ledger: after = emptyLedger } = store.cached();
        if (result === "written") {
            const boots = new Set([...Object.keys(before.holders), ...Object.keys(after.holders)]);
            [...boots].filter((boot) => !isSameSlices(before, after, boot)).forEach(sendSlices);
            recordGrowth([...boots].filter((boot) => hasGrown(before, after, boot)));
            forgetRecordedReleases(after);
            [...boots].filter((boot) => after.holders[boot] === undefined).forEach((boot) => opts.onReclaimed?.(boot));
            return "done";
        }
        if (result === "unavailable") {
            voidReleases();
        }
        return result === "conflict" ? "soon" : "failed";
    }

    function recordGrowth(boots: readonly string[]): void {
        boots.forEach((boot) => lastGrowthAtMsByBoot.set(boot, performance.now()));
        askBackoffMs = boots.length > 0 ? minRoundIntervalMs : askBackoffMs;
    }

    /**
     * Voids releases that the platform cannot store now, so that their holders can use the capacity again. Does nothing
     * while an earlier write may still take effect.
     */
    function voidReleases(): void {
        if (unresolvedWriteRevision !== undefined && store.cached().revision <= unresolvedWriteRevision) {
            return;
        }
        for (const [boot, { number }] of releases) {
            releases.delete(boot);
            voidedReleaseNumbers.set(boot, number);
            opts.sendVoid(boot, { shard, number });
        }
    }

    function forgetRecordedReleases(ledger: Ledger): void {
        for (const [boot, { number }] of releases) {
            if (number <= (ledger.holders[boot]?.releaseNumber ?? Infinity)) {
                releases.delete(boot);
            }
        }
    }

    /** Returns true if asks were sent. Asks that free nothing are repeated with exponential backoff. */
    async function sendAsksIfDue(shortages: readonly Shortage[]): Promise<boolean> {
        const now = performance.now();
        const urgent = shortages.filter(({ isUrgent }) => isUrgent);
        const isUnevenDue = urgent.length === 0 && now - lastUnevenAskAtMs >= unevenAskIntervalMs;
        const chosen = isUnevenDue ? shortages : urgent;
        if (chosen.length === 0) {
            askBackoffMs = minRoundIntervalMs;
            return false;
        }
        if (urgent.length > 0 && now - lastAskAtMs < askBackoffMs) {
            return false;
        }
        // A release takes effect at its holder even if the ledger cannot be written. So asks are sent only after the
        // platform has responded; otherwise capacity would stay unused for as long as the platform is down.
        if (!store.isFresh() && !(await store.reload())) {
            return false;
        }
        askBackoffMs = urgent.length > 0 ? Math.min(maxAskBackoffMs, askBackoffMs * 1.5) : minRoundIntervalMs;
        lastAskAtMs = now;
        lastUnevenAskAtMs = isUnevenDue ? now : lastUnevenAskAtMs;
        sendAsks(chosen);
        return true;
    }

    function sendAsks(shortages: readonly Shortage[]): void {
        for (const boot of opts.eligible()) {
            const teams = Object.fromEntries(shortages.map(({ team, give, ceilings }) => {
                const ceiling = ceilings.get(boot);
                return [team, { give, ...ceiling === undefined ? {} : { ceiling } }];
            }));
            opts.sendAsk(boot, { shard, teams });
        }
    }

    /**
     * While the ledger cannot be written, capacity cannot move. Tells entries with waiting tasks which entries have
     * free capacity.
     */
    async function offerPeerCapacity(): Promise<void> {
        const teams = waitingTeams();
        if (teams.length === 0) {
            return;
        }
        const question = Object.fromEntries(teams.map((team) => [team, { give: zeroUnits }]));
        opts.eligible().forEach((boot) => opts.sendAsk(boot, { shard, teams: question }));
        await pause(askReplyWaitMs);
        teams.forEach(offerPeerCapacityOf);
    }

    function offerPeerCapacityOf(team: string): void {
        const now = performance.now();
        const reports = [...holdings].flatMap(([boot, { atMs, message }]) => {
            const report = message.reports[team];
            return report === undefined || now - atMs >= maxWaitingAgeMs ? [] : [{ boot, report }];
        });
        const rooms = reports.filter(({ report }) => isZeroUnits(report.waiting))
            .map(({ boot, report }) => ({ boot, room: clampUnits(subtractUnits(report.held, report.used)) }))
            .filter(({ room }) => room.tasks > 0);
        if (rooms.length > 0) {
            reports.filter(({ report }) => !isZeroUnits(report.waiting))
                .forEach(({ boot }) => opts.sendRooms(boot, { team, rooms }));
        }
    }

    function waitingTeams(): readonly string[] {
        const now = performance.now();
        const fresh = [...holdings.values()].filter(({ atMs }) => now - atMs < maxWaitingAgeMs);
        return [
            ...new Set(
                fresh.flatMap(({ message }) =>
                    Object.entries(message.reports).flatMap(([team, { waiting }]) => isZeroUnits(waiting) ? [] : [team])
                ),
            ),
        ];
    }

    function hasPendingWork(): boolean {
        return releases.size > 0 || waitingTeams().length > 0;
    }

    return {
        handleHolding(boot, message) {
            holdings.set(boot, { atMs: performance.now(), message });
            const isCopyOld = store.recordRevision(message.revision);
            const { ledger, revision } = store.cached();
            const recorded = ledger?.holders[boot]?.releaseNumber ?? 0;
            recordRelease(boot, message.release, recorded);
            if (revision > message.revision) {
                sendSlices(boot);
            }
            if (hasPendingWork() || ledger === undefined || isCopyOld) {
                requestRound();
            }
        },
        check() {
            const state = opts.state();
            const known = opts.eligible();
            [...holdings.keys()].filter((boot) => !known.includes(boot)).forEach((boot) => {
                holdings.delete(boot);
                lastGrowthAtMsByBoot.delete(boot);
            });
            if (state !== undefined && !isRoundRunning) {
                const { ledger = emptyLedger } = store.cached();
                const input = createLedgerInput(state, ledger);
                opts.endedBoots.proveUnclear(ledger);
                const isIdle = planLedger(ledger, input) === ledger && findShortages(ledger, input).length === 0;
                if (!isIdle) {
                    requestRound();
                }
            }
        },
        waitingTeams,
        view(team) {
            const { ledger, revision } = store.cached();
            const slices = Object.entries(ledger?.teams[team]?.slices ?? {});
            return {
                ledgerRevision: revision,
                roundAgeMs: lastRoundAtMs === -Infinity ? undefined : Math.round(performance.now() - lastRoundAtMs),
                isRoundRunning,
                slices: Object.fromEntries(slices.map(([boot, { tasks }]) => [boot, tasks])),
            };
        },
        stop() {
            isStopped = true;
            clearTimeout(timer);
        },
    };

    function recordRelease(boot: string, release: Release | undefined, recorded: number): void {
        const dropped = voidedReleaseNumbers.get(boot) ?? 0;
        if (release === undefined || release.number <= Math.max(recorded, releases.get(boot)?.number ?? 0)) {
            return;
        }
        if (release.number <= dropped) {
            opts.sendVoid(boot, { shard, number: dropped });
        }
        else {
            releases.set(boot, release);
        }
    }
}

function withoutWaiting(reports: Readonly<Record<string, TeamReport>>): Readonly<Record<string, TeamReport>> {
    return Object.fromEntries(
        Object.entries(reports).map(([team, report]) => [team, { ...report, waiting: zeroUnits, next: zeroUnits }]),
    );
}
