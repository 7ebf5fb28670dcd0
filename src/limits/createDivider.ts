import { pause } from "../clock";
import type { FleetState } from "../state";
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
import { isGrown, isSameSlices, type LedgerInput, planLedger } from "./planLedger";
import { clampUnits, isNoUnits, noUnits, subtractUnits } from "./units";

export interface DividerOptions extends LedgerStoreOptions {
    readonly shard: number;
    readonly state: () => FleetState | undefined;
    /** Boots that may be given more: recorded, not gone, and connected now. */
    readonly eligible: () => readonly string[];
    readonly endedBoots: EndedBoots;
    readonly sendAsk: (boot: string, message: AskMessage) => void;
    readonly sendSlices: (boot: string, message: SlicesMessage) => void;
    readonly sendVoid: (boot: string, message: VoidMessage) => void;
    readonly sendRooms: (boot: string, message: RoomsMessage) => void;
}

/** Writes the ledger of one shard; more than one entry may do so at once. */
export interface Divider {
    take(boot: string, message: HoldingMessage): void;
    /** Looks whether anything is to be done without a message: a new limit, an ended boot, an uneven spread. */
    check(): void;
    stop(): void;
}

interface Holding {
    readonly atMs: number;
    readonly message: HoldingMessage;
}

/** Least time between two rounds, how long answers to an ask are waited for, and how old a report may be. */
const roundMs = 100;
const collectMs = 25;
const reportMs = 2000;
/** What a holder uses changes less than what waits there, and is told every five seconds at least. */
const usageMs = 6000;
const failureMs = 1000;
const maxAskMs = 1000;
const unevenAskMs = 5000;

export function createDivider(opts: DividerOptions): Divider {
    const { shard } = opts;
    const store = createLedgerStore(opts);
    const holdings = new Map<string, Holding>();
    const releases = new Map<string, Release>();
    /** Number of each boot's newest release that this entry has promised never to write. */
    const voided = new Map<string, number>();
    /** Ledger revision on which a write whose answer was lost was based; it can take effect as long as that stands. */
    let doubtfulRevision: number | undefined;
    const lastGrowthsAtMs = new Map<string, number>();
    let isBusy = false;
    let isWanted = false;
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    let lastRoundAtMs = -Infinity;
    let askBackoffMs = roundMs;
    let lastAskAtMs = -Infinity;
    let lastUnevenAskAtMs = -Infinity;

    function createInput(state: FleetState, ledger: Ledger): LedgerInput {
        const now = performance.now();
        const fresh = [...holdings].filter(([, { atMs }]) => now - atMs < usageMs);
        const leaving = new Set(fresh.filter(([, { message }]) => message.isLeaving).map(([boot]) => boot));
        return {
            shard,
            state,
            reports: new Map(fresh.map(([boot, { atMs, message }]) => [
                boot,
                now - atMs < reportMs ? message.reports : forgetWaiting(message.reports),
            ])),
            releases,
            leasesMs: new Map([...holdings].map(([boot, { message }]) => [boot, message.leaseMs])),
            eligible: opts.eligible().filter((boot) => holdings.has(boot) && !leaving.has(boot)).sort(byLastGrowth),
            ended: opts.endedBoots.findEnded(ledger),
        };
    }

    /** Where a limit is smaller than the number of boots, a fixed order would let the same ones wait for ever. */
    function byLastGrowth(a: string, b: string): number {
        return (lastGrowthsAtMs.get(a) ?? 0) - (lastGrowthsAtMs.get(b) ?? 0) || (a < b ? -1 : 1);
    }

    function sendSlices(boot: string): void {
        const { ledger, revision } = store.known();
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

    function wake(): void {
        isWanted = true;
        if (!isBusy) {
            schedule(Math.max(1, lastRoundAtMs + roundMs - performance.now()));
        }
    }

    async function run(): Promise<void> {
        if (isBusy || isStopped) {
            return;
        }
        isBusy = true;
        isWanted = false;
        lastRoundAtMs = performance.now();
        const next = await runRound();
        isBusy = false;
        switch (next) {
            case "done":
                return isWanted ? wake() : undefined;
            case "soon":
                return schedule(roundMs);
            case "failed":
                return schedule(failureMs);
        }
    }

    async function runRound(): Promise<"done" | "soon" | "failed"> {
        const state = opts.state();
        if (state === undefined) {
            return "done";
        }
        if (!(await store.refresh())) {
            dropReleases();
            await offerRooms();
            return isNeeded() ? "failed" : "done";
        }
        const { ledger = emptyLedger } = store.known();
        const shortages = findShortages(planLedger(ledger, createInput(state, ledger)), createInput(state, ledger));
        if (await askFor(shortages)) {
            await pause(collectMs);
        }
        const written = await writeNext();
        if (written !== "done") {
            return written;
        }
        return shortages.some(({ isUrgent }) => isUrgent) ? "soon" : "done";
    }

    async function writeNext(): Promise<"done" | "soon" | "failed"> {
        const state = opts.state();
        const { ledger: before = emptyLedger } = store.known();
        if (state === undefined) {
            return "done";
        }
        const planned = planLedger(before, createInput(state, before));
        if (planned === before) {
            return "done";
        }
        const { revision } = store.known();
        const result = await store.write(planned);
        doubtfulRevision = result === "unknown" ? revision : doubtfulRevision;
        const { ledger: after = emptyLedger } = store.known();
        if (result === "written") {
            const boots = new Set([...Object.keys(before.holders), ...Object.keys(after.holders)]);
            [...boots].filter((boot) => !isSameSlices(before, after, boot)).forEach(sendSlices);
            noteGrowth([...boots].filter((boot) => isGrown(before, after, boot)));
            dropTakenReleases(after);
            return "done";
        }
        if (result === "unavailable") {
            dropReleases();
        }
        return result === "conflict" ? "soon" : "failed";
    }

    function noteGrowth(boots: readonly string[]): void {
        boots.forEach((boot) => lastGrowthsAtMs.set(boot, performance.now()));
        askBackoffMs = boots.length > 0 ? roundMs : askBackoffMs;
    }

    /** Hands room back that holders gave up, while the service does not answer and nothing of it is on its way. */
    function dropReleases(): void {
        if (doubtfulRevision !== undefined && store.known().revision <= doubtfulRevision) {
            return;
        }
        for (const [boot, { number }] of releases) {
            releases.delete(boot);
            voided.set(boot, number);
            opts.sendVoid(boot, { shard, number });
        }
    }

    function dropTakenReleases(ledger: Ledger): void {
        for (const [boot, { number }] of releases) {
            if (number <= (ledger.holders[boot]?.releaseNumber ?? Infinity)) {
                releases.delete(boot);
            }
        }
    }

    /** Gives true where holders were asked. Asks that bring nothing are repeated less and less often. */
    async function askFor(shortages: readonly Shortage[]): Promise<boolean> {
        const now = performance.now();
        const urgent = shortages.filter(({ isUrgent }) => isUrgent);
        const isUnevenDue = urgent.length === 0 && now - lastUnevenAskAtMs >= unevenAskMs;
        const chosen = isUnevenDue ? shortages : urgent;
        if (chosen.length === 0) {
            askBackoffMs = roundMs;
            return false;
        }
        if (urgent.length > 0 && now - lastAskAtMs < askBackoffMs) {
            return false;
        }
        // A release binds its holder although the ledger cannot take it in; so none is asked for before the
        // service has answered, or room would lie idle for as long as the service is down.
        if (!store.isFresh() && !(await store.reload())) {
            return false;
        }
        askBackoffMs = urgent.length > 0 ? Math.min(maxAskMs, askBackoffMs * 1.5) : roundMs;
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

    /** While the ledger cannot be written, tasks that wait are sent to where room is, in place of the room. */
    async function offerRooms(): Promise<void> {
        const teams = waitingTeams();
        if (teams.length === 0) {
            return;
        }
        const question = Object.fromEntries(teams.map((team) => [team, { give: noUnits }]));
        opts.eligible().forEach((boot) => opts.sendAsk(boot, { shard, teams: question }));
        await pause(collectMs);
        teams.forEach(offerRoom);
    }

    function offerRoom(team: string): void {
        const now = performance.now();
        const reports = [...holdings].flatMap(([boot, { atMs, message }]) => {
            const report = message.reports[team];
            return report === undefined || now - atMs >= reportMs ? [] : [{ boot, report }];
        });
        const rooms = reports.filter(({ report }) => isNoUnits(report.waiting))
            .map(({ boot, report }) => ({ boot, room: clampUnits(subtractUnits(report.held, report.used)) }))
            .filter(({ room }) => room.tasks > 0);
        if (rooms.length > 0) {
            reports.filter(({ report }) => !isNoUnits(report.waiting))
                .forEach(({ boot }) => opts.sendRooms(boot, { team, rooms }));
        }
    }

    function waitingTeams(): readonly string[] {
        const now = performance.now();
        const fresh = [...holdings.values()].filter(({ atMs }) => now - atMs < reportMs);
        return [
            ...new Set(
                fresh.flatMap(({ message }) =>
                    Object.entries(message.reports).flatMap(([team, { waiting }]) => isNoUnits(waiting) ? [] : [team])
                ),
            ),
        ];
    }

    function isNeeded(): boolean {
        return releases.size > 0 || waitingTeams().length > 0;
    }

    return {
        take(boot, message) {
            holdings.set(boot, { atMs: performance.now(), message });
            const { ledger, revision } = store.known();
            const recorded = ledger?.holders[boot]?.releaseNumber ?? 0;
            takeRelease(boot, message.release, recorded);
            if (revision > message.revision) {
                sendSlices(boot);
            }
            if (isNeeded() || ledger === undefined) {
                wake();
            }
        },
        check() {
            const state = opts.state();
            const known = opts.eligible();
            [...holdings.keys()].filter((boot) => !known.includes(boot)).forEach((boot) => {
                holdings.delete(boot);
                lastGrowthsAtMs.delete(boot);
            });
            if (state !== undefined && !isBusy) {
                const { ledger = emptyLedger } = store.known();
                const input = createInput(state, ledger);
                opts.endedBoots.prove(ledger);
                const isIdle = planLedger(ledger, input) === ledger && findShortages(ledger, input).length === 0;
                if (!isIdle) {
                    wake();
                }
            }
        },
        stop() {
            isStopped = true;
            clearTimeout(timer);
        },
    };

    function takeRelease(boot: string, release: Release | undefined, recorded: number): void {
        const dropped = voided.get(boot) ?? 0;
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

function forgetWaiting(reports: Readonly<Record<string, TeamReport>>): Readonly<Record<string, TeamReport>> {
    return Object.fromEntries(
        Object.entries(reports).map(([team, report]) => [team, { ...report, waiting: noUnits, next: noUnits }]),
    );
}
