import { z } from "zod";
import type { Clocks } from "../clock";
import type { Reporter } from "../logging";
import type { Peers } from "../peers";
import { chooseStandbys } from "./chooseStandbys";
import { createHeartbeats, heartbeatAckTopic, heartbeatSchema, heartbeatTopic } from "./createHeartbeats";
import { createLeaderObservation, type LeaderTerm } from "./createLeaderObservation";
import { judgeLeaderLoss, type StandbyReport } from "./judgeLeaderLoss";
import type { LeaderElection, Tenure } from "./leaderElection";
import type { Candidate } from "./rankCandidates";

export interface FailoverOptions {
    readonly self: Candidate;
    readonly peers: Peers;
    readonly clocks: Clocks;
    readonly election: Pick<LeaderElection, "takeOver">;
    readonly report: Reporter;
}

/** Replaces a leader on the evidence of several standbys, without waiting for its lease to expire. */
export interface Failover {
    /** Takes the other entries that are up and the leader according to the store; `undefined` for none. */
    updateFleet(others: readonly Candidate[], leader: LeaderTerm | undefined): void;
    /** Sends heartbeats to the standbys while this entry leads. */
    beginTenure(tenure: Tenure): void;
    endTenure(): void;
    /** Whether the leader, this entry, may interrupt tasks; see `Heartbeats.isHeard`. */
    isHeard(): boolean;
    /** Boots of the entries that watch the leader, the designated standby first; while there is none, the last one's. */
    standbys(): readonly string[];
    /** Whether this entry is the one that takes over first if the leader is lost. */
    isDesignatedStandby(): boolean;
    /** Longest silence of a leader that this entry has observed as a standby, in milliseconds. */
    longestSilenceMs(): number;
    stop(): void;
}

const silenceTopic = "leaderSilence";
const silenceRequestSchema = z.object({ boot: z.string() });
const silenceAnswerSchema = z.object({ silentMs: z.number().optional() });

/** Silence after which a standby asks the others, in milliseconds: five heartbeats are missing. */
const suspectSilenceMs = 500;

/**
 * Additional silence for each position in the list, in milliseconds, so that mostly one standby takes over. It passes before
 * the other standbys are asked, so that their answers are recent when this one takes over.
 */
const positionDelayMs = 150;

/** Timeout of the question to another standby, in milliseconds. */
const answerTimeoutMs = 150;

/** Pause before the other standbys are asked again, in milliseconds. */
const askAgainMs = 200;

/** Interval of a standby's own timer, in milliseconds; a silence is detected with this delay at most. */
const tickMs = 25;

/** Creates the standby's and the leader's side of the failover. */
export function createFailover(opts: FailoverOptions): Failover {
    const { self, peers, clocks, election, report } = opts;
    const observation = createLeaderObservation();
    let others: readonly Candidate[] = [];
    let leader: LeaderTerm | undefined;
    /** Boot of the present or the last leader, to which `standbys` belong. */
    let watchedBoot: string | undefined;
    let standbys: readonly string[] = [];
    let isAsking = false;
    let askAtMs = Number.NEGATIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;

    const heartbeats = createHeartbeats({
        peers,
        clocks,
        // The watch may not have shown yet that this entry leads.
        standbys: () => watchedBoot === self.boot ? standbys : chooseStandbys(self.boot, [self, ...others]),
        isSingleZone: () => countZones() === 1,
    });

    peers.onMessage(heartbeatTopic, (from, body) => {
        const heartbeat = heartbeatSchema.safeParse(body).data;
        if (heartbeat === undefined) {
            return;
        }
        const term = { boot: from.boot, token: heartbeat.token };
        // A former leader gets no acknowledgement, so that it stops interrupting tasks.
        if (observation.recordHeartbeat(term, clocks.suspendAwareMs())) {
            peers.send(from.boot, heartbeatAckTopic, heartbeat);
        }
    });
    peers.onRequest(silenceTopic, (_from, body) => {
        const boot = silenceRequestSchema.safeParse(body).data?.boot;
        const silentMs = boot === undefined ? undefined : observation.silentMs(boot, clocks.suspendAwareMs());
        return Promise.resolve(silentMs === undefined ? {} : { silentMs });
    });

    function countZones(): number {
        return new Set([self, ...others].map(({ zone }) => zone)).size;
    }

    /** The leader, while this standby is due to ask about it or to take over from it. */
    function findSuspect(): LeaderTerm | undefined {
        const position = standbys.indexOf(self.boot);
        const suspect = observation.findSilentLeader(
            clocks.suspendAwareMs(),
            suspectSilenceMs + position * positionDelayMs,
        );
        return position >= 0 && suspect?.token === leader?.token ? suspect : undefined;
    }

    function tick(): void {
        const nowMs = clocks.suspendAwareMs();
        observation.recordTick(nowMs);
        const suspect = findSuspect();
        if (suspect !== undefined && !isAsking && nowMs >= askAtMs) {
            isAsking = true;
            void investigate(suspect).finally(() => {
                isAsking = false;
                askAtMs = clocks.suspendAwareMs() + askAgainMs;
            });
        }
    }

    async function ask({ boot, zone }: Candidate, suspect: LeaderTerm): Promise<readonly StandbyReport[]> {
        const answer = await peers.request(boot, silenceTopic, { boot: suspect.boot }, answerTimeoutMs);
        const parsed = silenceAnswerSchema.safeParse(answer.orDefault(undefined));
        return parsed.success ? [{ boot, zone, silentMs: parsed.data.silentMs }] : [];
    }

    async function investigate(suspect: LeaderTerm): Promise<void> {
        const askedAtMs = clocks.suspendAwareMs();
        const asked = others.filter(({ boot }) => standbys.includes(boot));
        const answers = (await Promise.all(asked.map((standby) => ask(standby, suspect)))).flat();
        const isStillSuspect = () => findSuspect()?.token === suspect.token;
        if (!isStillSuspect()) {
            return;
        }
        const nowMs = clocks.suspendAwareMs();
        const silentMs = observation.silentMs(suspect.boot, nowMs);
        const verdict = judgeLeaderLoss({ ownZone: self.zone, answers, fleetZones: countZones() });
        report({
            kind: "leaderSilence",
            leader: suspect.boot,
            token: suspect.token,
            silentMs: silentMs === undefined ? undefined : Math.round(silentMs),
            position: standbys.indexOf(self.boot),
            asked: asked.length,
            answers: answers.map(describeAnswer).join(" "),
            answersAgeMs: Math.round(nowMs - askedAtMs),
            silentStandbys: verdict.silentStandbys,
            silentZones: verdict.silentZones,
            decision: verdict.kind,
        });
        if (verdict.kind === "lost") {
            await takeOver(suspect, isStillSuspect);
        }
    }

    function describeAnswer({ boot, zone, silentMs }: StandbyReport): string {
        const instance = others.find((other) => other.boot === boot)?.instance ?? boot;
        return `${instance}/${zone}=${silentMs === undefined ? "never" : Math.round(silentMs)}`;
    }

    async function takeOver(suspect: LeaderTerm, isStillSuspect: () => boolean): Promise<void> {
        const outcome = await election.takeOver(suspect, isStillSuspect);
        if (outcome !== "leading") {
            const detail = `${outcome}, token ${suspect.token}`;
            report({ kind: "note", slice: "duties", message: "a takeover on evidence did not succeed", detail });
        }
    }

    /** Only standbys run a timer. */
    function updateTimer(): void {
        const isStandby = leader !== undefined && standbys.includes(self.boot);
        if (isStandby && timer === undefined) {
            timer = setInterval(tick, tickMs);
        }
        else if (!isStandby) {
            stopTimer();
        }
    }

    function stopTimer(): void {
        clearInterval(timer);
        timer = undefined;
    }

    return {
        updateFleet(candidates, term) {
            others = candidates;
            leader = term;
            observation.updateLeader(term, clocks.suspendAwareMs());
            watchedBoot = term?.boot ?? watchedBoot;
            standbys = watchedBoot === undefined ? [] : chooseStandbys(watchedBoot, [self, ...others]);
            updateTimer();
        },
        beginTenure: heartbeats.begin,
        endTenure: heartbeats.end,
        isHeard: heartbeats.isHeard,
        standbys: () => standbys,
        isDesignatedStandby: () => standbys[0] === self.boot,
        longestSilenceMs: observation.longestSilenceMs,
        stop() {
            stopTimer();
            heartbeats.end();
        },
    };
}
