import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import type { Platform, StoredValue, Watcher } from "../platform";
import { applyListing } from "./applyListing";
import { createInstanceList, type Listing } from "./createInstanceList";
import { emptyRecord, type MemberRecord, membersKey, parseRecord } from "./memberRecord";
import type { Member, Members } from "./members";

export interface MembersOptions {
    readonly platform: Platform;
    readonly watcher: Watcher;
    readonly peers: Peers;
    /** How long to wait after the platform failed, in milliseconds. */
    readonly retryMs: number;
    /** How often one entry of each zone reads the platform's instance list, in milliseconds. */
    readonly listMs?: number;
    /** Addresses known from the settings, used besides the record. */
    readonly seedUrls?: readonly string[];
    readonly report?: Reporter;
    /** From 0 up to 1, for the jitter of retries; tests give a seeded one. */
    readonly random?: () => number;
}

const defaultListMs = 3000;

/** Tries to read the list before this boot enters the record without having seen it. */
const maxListTries = 5;

/** Tries to leave the record at a planned stop. */
const maxLeaveTries = 10;

/** Keeps this boot in the record and the links to all others. */
export function createMembers(opts: MembersOptions): Members {
    const { self } = opts.peers;
    const report: Reporter = opts.report ?? (() => {});
    const listeners = new Set<() => void>();
    const everRecorded = new Set<string>();
    /** How many lists in a row lacked the instance of a boot that had been listed. */
    const absences = new Map<string, number>();
    let record: MemberRecord | undefined;
    let isRunning = false;
    let isEntered = false;

    const list = createInstanceList({
        platform: opts.platform,
        peers: opts.peers,
        listMs: opts.listMs ?? defaultListMs,
        onRead: checkListing,
        onChange: notify,
    });

    opts.peers.setAddresses(opts.seedUrls ?? []);
    opts.watcher.follow(membersKey, adoptStored, () => {
        report({ kind: "platformWentBack", key: membersKey });
        void restore();
    });

    function notify(): void {
        listeners.forEach((listener) => listener());
    }

    function adoptStored(stored: StoredValue): void {
        const next = parseRecord(stored);
        if (next === undefined) {
            report({ kind: "valueRefused", key: membersKey, detail: "malformed or of another version" });
            return;
        }
        adopt(next);
    }

    /** An older record is refused: the boots that it lacks would count as gone while they serve. */
    function adopt(next: MemberRecord): void {
        if (record !== undefined && next.serial <= record.serial) {
            return;
        }
        record = next;
        forgetLongGone();
        const isSelfIn = next.members.some(({ boot }) => boot === self.boot);
        if (isEntered && isRunning && !isSelfIn) {
            report({ kind: "removedFromRecord", boot: self.boot });
        }
        isEntered = isSelfIn;
        opts.peers.setAddresses([...new Set([...opts.seedUrls ?? [], ...next.members.map(({ peerUrl }) => peerUrl)])]);
        notify();
    }

    function forgetLongGone(): void {
        record?.members.forEach(({ boot }) => everRecorded.add(boot));
        const surplus = Math.max(0, everRecorded.size - maxRememberedBoots);
        [...everRecorded].filter(isAbsent).slice(0, surplus).forEach((boot) => everRecorded.delete(boot));
    }

    function isAbsent(boot: string): boolean {
        return !(record?.members ?? []).some((member) => member.boot === boot);
    }

    /**
     * Gives false where it has to be tried again. With `isProof`, it writes even where nothing changes: a read may
     * come from a stale replica, a compare-and-swap cannot.
     */
    async function change(edit: (current: readonly Member[]) => readonly Member[], isProof = false): Promise<boolean> {
        const read = await opts.platform.read(membersKey);
        const stored = read.orDefault(undefined);
        const found = parseRecord(stored);
        if (read.isLeft() || found === undefined) {
            return false;
        }
        const isOlder = record !== undefined && found.serial < record.serial;
        const current = isOlder ? record ?? emptyRecord : found;
        adopt(current);
        const members = edit(current.members);
        if (members === current.members && !isOlder && !isProof) {
            return true;
        }
        const next = { serial: current.serial + 1, members };
        const text = JSON.stringify(next);
        const written = await opts.platform.compareAndSwap(membersKey, stored?.revision ?? 0, text);
        written.ifRight((revision) => {
            opts.watcher.rewind(membersKey, revision);
            adopt(next);
        });
        return written.isRight();
    }

    /** Writes the newer record that this entry knows over an older one that the platform went back to. */
    async function restore(): Promise<void> {
        while (isRunning && !(await change((current) => current))) {
            await pauseAtRandom();
        }
    }

    /** Without the look at the list, an instance taken away before a reader has seen it would stay for good. */
    async function enter(): Promise<void> {
        for (let tries = 0; isRunning; tries++) {
            const list = await opts.platform.listInstances();
            const listed = list.orDefault([]).some(({ instance }) => instance === self.instance);
            const mayEnter = list.isRight() || tries >= maxListTries;
            if (mayEnter && await change((current) => addMember(current, { ...self, listed }))) {
                return;
            }
            await pauseAtRandom();
        }
    }

    async function pauseAtRandom(): Promise<void> {
        await pause(opts.retryMs * (0.5 + (opts.random ?? Math.random)()));
    }

    async function checkListing(listing: Listing): Promise<void> {
        if (record === undefined || listing.size === 0) {
            return;
        }
        for (const { boot, instance, listed } of record.members) {
            absences.set(boot, listed && !listing.has(instance) ? (absences.get(boot) ?? 0) + 1 : 0);
        }
        [...absences.keys()].filter(isAbsent).forEach((boot) => absences.delete(boot));
        const absent = new Set([...absences].filter(([, times]) => times >= 2).map(([boot]) => boot));
        if (applyListing(record.members, listing, absent) !== record.members) {
            await change((current) => applyListing(current, listing, absent));
        }
    }

    return {
        recorded: () => record?.members,
        isGone: (boot) => everRecorded.has(boot) && isAbsent(boot),
        async proveGone(boots) {
            const isProved = await change((current) => current, true);
            return isProved ? new Set(boots.filter(isAbsent)) : undefined;
        },
        async refresh() {
            const read = await opts.platform.read(membersKey);
            const found = parseRecord(read.orDefault(undefined));
            if (found !== undefined && read.isRight()) {
                adopt(found);
            }
            return read.isRight();
        },
        instances: list.current,
        instancesAgeMs: list.ageMs,
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {
            isRunning = true;
            void enter();
            list.start();
        },
        entered: (waitMs) =>
            new Promise((resolve) => {
                const finish = () => {
                    clearTimeout(timeout);
                    listeners.delete(check);
                    resolve(isEntered);
                };
                const check = () => {
                    if (isEntered) {
                        finish();
                    }
                };
                const timeout = setTimeout(finish, waitMs);
                listeners.add(check);
                check();
            }),
        async stop() {
            isRunning = false;
            list.stop();
            for (let tries = 0; tries < maxLeaveTries; tries++) {
                if (await change((current) => withoutBoot(current, self.boot))) {
                    return;
                }
                await pauseAtRandom();
            }
            report({ kind: "note", slice: "members", message: "this boot could not be taken out of the record" });
        },
    };
}

/** Boots remembered as gone; a daemon that runs for months would otherwise keep every boot there ever was. */
const maxRememberedBoots = 4096;

/** The same instance at the same address: this process could bind it only because the older one has ended. */
function addMember(current: readonly Member[], own: Member): readonly Member[] {
    const isReplaced = (member: Member) => member.instance === own.instance && member.peerUrl === own.peerUrl;
    return current.some(({ boot }) => boot === own.boot)
        ? current
        : [...current.filter((member) => !isReplaced(member)), own];
}

function withoutBoot(current: readonly Member[], boot: string): readonly Member[] {
    return current.some((member) => member.boot === boot) ? current.filter((member) => member.boot !== boot) : current;
}
