import type { Peers } from "../peers";
import type { ShareTable } from "./createShareTable";
import { fullReportTopic, type Report, type ReportRow, reportSchema, reportTopic } from "./messages";

export interface ReportsOptions {
    readonly peers: Peers;
    readonly table: ShareTable;
    /** Interval of reports. */
    readonly reportMs: number;
    /** Returns this entry's rows of the pool. A team whose last task has ended has a row of zeros once. */
    ownRows(pool: string): readonly ReportRow[];
    /** Returns the pools that other entries need reports of now. */
    reportedPools(): readonly string[];
    /** Called when the pool's changes have been reported. */
    onReported(pool: string): void;
    onPeerChange(pool: string): void;
}

export interface Reports {
    /** Reports the pool's changes before the next interval, because other entries' waiting tasks depend on them. */
    sendSoon(pool: string): void;
    start(): void;
    stop(): void;
}

const minReportGapMs = 50;
const fullReportTimeoutMs = 1000;

/**
 * Reports this entry's changes to connected entries, and stores their reports in the table.
 *
 * A lost report would leave a wrong row, and shares would stay wrong while the fleet is full. Reports are numbered, so
 * the receiver detects a gap and requests a full report. Rows of disconnected entries are removed, so that a
 * partitioned availability zone divides only the capacity that it can reach.
 */
export function createReports(opts: ReportsOptions): Reports {
    const { peers, table } = opts;
    const sentDigestsByPool = new Map<string, Map<string, string>>();
    const lastSequenceByBoot = new Map<string, number>();
    const poolsToSendSoon = new Set<string>();
    let knownBoots = new Set<string>();
    let sequence = 0;
    let timer: NodeJS.Timeout | undefined;
    let soonTimer: NodeJS.Timeout | undefined;
    let sentAtMs = 0;

    function collectChanges(chosen: readonly string[]): Report["pools"] {
        const pools: Record<string, ReportRow[]> = {};
        for (const pool of chosen) {
            const sentDigests = sentDigestsByPool.get(pool) ?? new Map<string, string>();
            sentDigestsByPool.set(pool, sentDigests);
            const changed = opts.ownRows(pool).filter((row) => {
                const digest = row.slice(1, 10).join();
                const isNew = digest !== (sentDigests.get(row[0]) ?? "0,0,0,0,0,0,0,0,0");
                sentDigests.set(row[0], digest);
                return isNew;
            });
            if (changed.length > 0) {
                pools[pool] = changed;
            }
            opts.onReported(pool);
        }
        return pools;
    }

    function collectAll(): Report {
        const pools: Record<string, ReportRow[]> = {};
        for (const pool of opts.reportedPools()) {
            pools[pool] = [...opts.ownRows(pool)];
        }
        return { sequence, isWhole: true, pools };
    }

    function sendRequestedChanges(): void {
        soonTimer = undefined;
        sentAtMs = Date.now();
        const chosen = opts.reportedPools().filter((pool) => poolsToSendSoon.has(pool));
        poolsToSendSoon.clear();
        sendChanges(chosen);
    }

    function sendChanges(chosen: readonly string[]): void {
        const pools = collectChanges(chosen);
        if (Object.keys(pools).length > 0) {
            sequence++;
            peers.broadcast(reportTopic, { sequence, isWhole: false, pools } satisfies Report);
        }
    }

    function tick(): void {
        const connectedBoots = new Set(peers.connected().map(({ boot }) => boot));
        for (const boot of table.boots()) {
            if (!connectedBoots.has(boot)) {
                table.removeEntry(boot);
                lastSequenceByBoot.delete(boot);
            }
        }
        for (const boot of connectedBoots) {
            if (!knownBoots.has(boot)) {
                peers.send(boot, reportTopic, collectAll());
            }
        }
        knownBoots = connectedBoots;
        sendChanges(opts.reportedPools());
    }

    function applyReport(boot: string, report: Report): void {
        const last = lastSequenceByBoot.get(boot);
        lastSequenceByBoot.set(boot, report.sequence);
        if (report.isWhole) {
            table.removeEntry(boot);
        }
        else if (last !== undefined && report.sequence !== last + 1) {
            void requestFullReport(boot);
        }
        const nowMs = Date.now();
        for (const [pool, rows] of Object.entries(report.pools)) {
            rows.forEach((row) => table.set(boot, pool, row, nowMs));
            opts.onPeerChange(pool);
        }
    }

    async function requestFullReport(boot: string): Promise<void> {
        const answer = await peers.request(boot, fullReportTopic, {}, fullReportTimeoutMs);
        answer.ifRight((body) => {
            const parsed = reportSchema.safeParse(body);
            if (parsed.success) {
                applyReport(boot, parsed.data);
            }
        });
    }

    peers.onMessage(reportTopic, (from, body) => {
        const parsed = reportSchema.safeParse(body);
        if (parsed.success) {
            applyReport(from.boot, parsed.data);
        }
    });
    peers.onRequest(fullReportTopic, () => Promise.resolve(collectAll()));

    return {
        sendSoon(pool) {
            poolsToSendSoon.add(pool);
            soonTimer ??= setTimeout(sendRequestedChanges, Math.max(1, sentAtMs + minReportGapMs - Date.now()));
        },
        start() {
            timer = setInterval(tick, opts.reportMs);
        },
        stop() {
            clearInterval(timer);
            clearTimeout(soonTimer);
        },
    };
}
