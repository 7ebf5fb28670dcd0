import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import type { KeyWatcher, Platform, StoredValue } from "../platform";
import { applyListing } from "./applyListing";
import { createInstanceList, type Listing } from "./createInstanceList";
import { emptyRecord, type MemberRecord, membersKey, parseRecord } from "./memberRecord";
import type { Member, Members } from "./members";

export interface MembersOptions {
    readonly platform: Platform;
    readonly watcher: KeyWatcher;
    readonly peers: Peers;
    /** Retry delay after the platform failed, in milliseconds. */
    readonly retryMs: number;
    /** Interval at which one entry of each zone reads the platform's instance list, in milliseconds. */
    readonly listMs?: number;
    /** Peer addresses from the settings, used in addition to those in the record. */
    readonly seedUrls?: readonly string[];
    readonly report?: Reporter;
    /** Returns a number from 0 up to 1, for the jitter of retries. Tests pass a seeded source. */
    readonly random?: () => number;
}

const defaultListMs = 3000;

/** Failed attempts to read the instance list after which this boot enters the record without having read it. */
const maxListAttempts = 5;

/** Attempts to leave the record at a clean shutdown. */
const maxLeaveAttempts = 10;

/** Keeps this boot in the membership record and gives the addresses of all members to the peer links. */
export function createMembers(opts: MembersOptions): Members {
    const { self } = opts.peers;
    const report: Reporter = opts.report ?? (() => {});
    const listeners = new Set<() => void>();
    const knownBoots = new Set<string>();
    /** Number of consecutive lists without the instance of a boot that had been listed. */
    const absences = new Map<string, number>();
    let record: MemberRecord | undefined;
    let isRunning = false;
    let isEntered = false;

    const instanceList = createInstanceList({
        platform: opts.platform,
        peers: opts.peers,
        listMs: opts.listMs ?? defaultListMs,
        onRead: checkListing,
        onChange: notify,
    });

    opts.peers.setAddresses(opts.seedUrls ?? []);
    opts.watcher.subscribe(membersKey, applyStored, () => {
        report({ kind: "platformWentBack", key: membersKey });
        void restore();
    });

    function notify(): void {
        listeners.forEach((listener) => listener());
    }

    function applyStored(stored: StoredValue): void {
        const next = parseRecord(stored);
        if (next === undefined) {
            report({ kind: "valueRefused", key: membersKey, detail: "malformed or of another version" });
            return;
        }
        applyRecord(next);
    }

    /** Ignores an older record: boots missing from it would count as ended while they are running. */
    function applyRecord(next: MemberRecord): void {
        if (record !== undefined && next.serial <= record.serial) {
            return;
        }
        record = next;
        pruneEndedBoots();
        const isSelfRecorded = next.members.some(({ boot }) => boot === self.boot);
        if (isEntered && isRunning && !isSelfRecorded) {
            report({ kind: "removedFromRecord", boot: self.boot });
        }
        isEntered = isSelfRecorded;
        opts.peers.setAddresses([...new Set([...opts.seedUrls ?? [], ...next.members.map(({ peerUrl }) => peerUrl)])]);
        notify();
    }

    function pruneEndedBoots(): void {
        record?.members.forEach(({ boot }) => knownBoots.add(boot));
        const surplus = Math.max(0, knownBoots.size - maxKnownBoots);
        [...knownBoots].filter(isAbsent).slice(0, surplus).forEach((boot) => knownBoots.delete(boot));
    }

    function isAbsent(boot: string): boolean {
        return !(record?.members ?? []).some((member) => member.boot === boot);
    }

    /**
     * Edits the record by compare-and-swap; returns false if the caller has to retry. With `isWriteForced`, it writes
     * even if nothing changes: a read may come from a stale replica, a compare-and-swap cannot.
     */
    async function updateRecord(
        edit: (current: readonly Member[]) => readonly Member[],
        isWriteForced = false,
    ): Promise<boolean> {
        const read = await opts.platform.read(membersKey);
        const stored = read.orDefault(undefined);
        const found = parseRecord(stored);
        if (read.isLeft() || found === undefined) {
            return false;
        }
        const isOlder = record !== undefined && found.serial < record.serial;
        const current = isOlder ? record ?? emptyRecord : found;
        applyRecord(current);
        const members = edit(current.members);
        if (members === current.members && !isOlder && !isWriteForced) {
            return true;
        }
        const next = { serial: current.serial + 1, members };
        const text = JSON.stringify(next);
        const written = await opts.platform.compareAndSwap(membersKey, stored?.revision ?? 0, text);
        written.ifRight((revision) => {
            opts.watcher.rewind(membersKey, revision);
            applyRecord(next);
        });
        return written.isRight();
    }

    /** Overwrites an older record, to which the platform was rolled back, with the newer one that this entry knows. */
    async function restore(): Promise<void> {
        while (isRunning && !(await updateRecord((current) => current))) {
            await pauseWithJitter();
        }
    }

    /**
     * Reads the instance list before it adds this boot to the record. Otherwise an instance that was removed before any
     * entry saw it in the list would stay in the record forever.
     */
    async function addSelf(): Promise<void> {
        for (let attempts = 0; isRunning; attempts++) {
            const answer = await opts.platform.listInstances();
            const listed = answer.orDefault([]).some(({ instance }) => instance === self.instance);
            const mayEnter = answer.isRight() || attempts >= maxListAttempts;
            if (mayEnter && await updateRecord((current) => addMember(current, { ...self, listed }))) {
                return;
            }
            await pauseWithJitter();
        }
    }

    async function pauseWithJitter(): Promise<void> {
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
        // A single list may lack a running instance, so two in a row are required.
        const absent = new Set([...absences].filter(([, times]) => times >= 2).map(([boot]) => boot));
        if (applyListing(record.members, listing, absent) !== record.members) {
            await updateRecord((current) => applyListing(current, listing, absent));
        }
    }

    return {
        recorded: () => record?.members,
        hasEnded: (boot) => knownBoots.has(boot) && isAbsent(boot),
        async proveEnded(boots) {
            const isConfirmed = await updateRecord((current) => current, true);
            return isConfirmed ? new Set(boots.filter(isAbsent)) : undefined;
        },
        async refresh() {
            const read = await opts.platform.read(membersKey);
            const found = parseRecord(read.orDefault(undefined));
            if (found !== undefined && read.isRight()) {
                applyRecord(found);
            }
            return read.isRight();
        },
        instances: instanceList.current,
        instancesAgeMs: instanceList.ageMs,
        onChange(listener) {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        start() {
            isRunning = true;
            void addSelf();
            instanceList.start();
        },
        waitUntilRecorded: (waitMs) =>
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
            instanceList.stop();
            for (let attempts = 0; attempts < maxLeaveAttempts; attempts++) {
                if (await updateRecord((current) => withoutBoot(current, self.boot))) {
                    return;
                }
                await pauseWithJitter();
            }
            report({
                kind: "note",
                slice: "members",
                message: "could not remove this boot from the membership record",
            });
        },
    };
}

/**
 * Most boots kept in memory; above it, ended ones are forgotten. Without a limit, a daemon that runs for months would
 * keep every boot it ever saw.
 */
const maxKnownBoots = 4096;

/**
 * Adds a member and replaces an older boot of the same instance at the same address. This process could bind the
 * address only because the older one has ended.
 */
function addMember(current: readonly Member[], own: Member): readonly Member[] {
    const isReplaced = (member: Member) => member.instance === own.instance && member.peerUrl === own.peerUrl;
    return current.some(({ boot }) => boot === own.boot)
        ? current
        : [...current.filter((member) => !isReplaced(member)), own];
}

function withoutBoot(current: readonly Member[], boot: string): readonly Member[] {
    return current.some((member) => member.boot === boot) ? current.filter((member) => member.boot !== boot) : current;
}
