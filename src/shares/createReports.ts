import type { Peers } from "../peers";
import type { ShareTable } from "./createShareTable";
import { type Report, type ReportRow, reportSchema, reportTopic, wholeTopic } from "./messages";

export interface ReportsOptions {
    readonly peers: Peers;
    readonly table: ShareTable;
    /** How often changes are told, in milliseconds. */
    readonly reportMs: number;
    /** Rows of this entry in the given pools; a team that has left gives a row of zeros once. */
    ownRows(pool: string): readonly ReportRow[];
    /** Pools of this entry that others need to know about now. */
    reportedPools(): readonly string[];
    /** Called when the pool's changes have been told. */
    onTold(pool: string): void;
    onPeerChange(pool: string): void;
}

export interface Reports {
    /** Tells the pool's changes soon, because waiting others depend on them. */
    hurry(pool: string): void;
    start(): void;
    stop(): void;
}

/** Least time between two reports, in milliseconds. */
const hurryMs = 50;
const wholeTimeoutMs = 1000;

/**
 * Tells connected entries what changed here, and keeps what they told.
 *
 * A report that is lost leaves a wrong row behind, which shows as shares that stay off while the fleet is full. Each
 * report is numbered, so the receiver notices the gap and asks for a whole one. Rows of an entry that is no longer
 * connected are forgotten, so that a zone that is cut off divides what it can reach.
 */
export function createReports(opts: ReportsOptions): Reports {
    const { peers, table } = opts;
    const sent = new Map<string, Map<string, string>>();
    const heard = new Map<string, number>();
    const hurried = new Set<string>();
    let known = new Set<string>();
    let sequence = 0;
    let timer: NodeJS.Timeout | undefined;
    let soon: NodeJS.Timeout | undefined;
    let sentAtMs = 0;

    function collectChanges(chosen: readonly string[]): Report["pools"] {
        const pools: Record<string, ReportRow[]> = {};
        for (const pool of chosen) {
            const told = sent.get(pool) ?? new Map<string, string>();
            sent.set(pool, told);
            const changed = opts.ownRows(pool).filter((row) => {
                const digest = row.slice(1, 10).join();
                const isNew = digest !== (told.get(row[0]) ?? "0,0,0,0,0,0,0,0,0");
                told.set(row[0], digest);
                return isNew;
            });
            if (changed.length > 0) {
                pools[pool] = changed;
            }
            opts.onTold(pool);
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

    function tellSoon(): void {
        soon = undefined;
        sentAtMs = Date.now();
        const chosen = opts.reportedPools().filter((pool) => hurried.has(pool));
        hurried.clear();
        tell(chosen);
    }

    function tell(chosen: readonly string[]): void {
        const pools = collectChanges(chosen);
        if (Object.keys(pools).length > 0) {
            sequence++;
            peers.broadcast(reportTopic, { sequence, isWhole: false, pools } satisfies Report);
        }
    }

    function tick(): void {
        const now = new Set(peers.connected().map(({ boot }) => boot));
        for (const boot of table.boots()) {
            if (!now.has(boot)) {
                table.forget(boot);
                heard.delete(boot);
            }
        }
        for (const boot of now) {
            if (!known.has(boot)) {
                peers.send(boot, reportTopic, collectAll());
            }
        }
        known = now;
        tell(opts.reportedPools());
    }

    function take(boot: string, report: Report): void {
        const last = heard.get(boot);
        heard.set(boot, report.sequence);
        if (report.isWhole) {
            table.forget(boot);
        }
        else if (last !== undefined && report.sequence !== last + 1) {
            void askWhole(boot);
        }
        const nowMs = Date.now();
        for (const [pool, rows] of Object.entries(report.pools)) {
            rows.forEach((row) => table.set(boot, pool, row, nowMs));
            opts.onPeerChange(pool);
        }
    }

    async function askWhole(boot: string): Promise<void> {
        const answer = await peers.request(boot, wholeTopic, {}, wholeTimeoutMs);
        answer.ifRight((body) => {
            const parsed = reportSchema.safeParse(body);
            if (parsed.success) {
                take(boot, parsed.data);
            }
        });
    }

    peers.onMessage(reportTopic, (from, body) => {
        const parsed = reportSchema.safeParse(body);
        if (parsed.success) {
            take(from.boot, parsed.data);
        }
    });
    peers.onRequest(wholeTopic, () => Promise.resolve(collectAll()));

    return {
        hurry(pool) {
            hurried.add(pool);
            soon ??= setTimeout(tellSoon, Math.max(1, sentAtMs + hurryMs - Date.now()));
        },
        start() {
            timer = setInterval(tick, opts.reportMs);
        },
        stop() {
            clearInterval(timer);
            clearTimeout(soon);
        },
    };
}
