import type { LimitView, Reporter } from "../logging";

export interface WaitReportsOptions {
    readonly report: Reporter;
    readonly view: (team: string) => LimitView;
}

/** Logs why tasks of a team still wait for its limit. */
export interface WaitReports {
    /** Takes the teams that wait now, here or at a holder that reports to this entry. */
    update(teams: ReadonlySet<string>): void;
    /** How long the team that has waited longest has waited, in milliseconds; 0 if none waits. */
    longestWaitMs(): number;
}

/** Moving capacity takes a tenth of a second, so a longer wait has a cause that the log has to show. */
const firstReportMs = 2000;
const reportIntervalMs = 5000;

export function createWaitReports(opts: WaitReportsOptions): WaitReports {
    const waits = new Map<string, { readonly sinceMs: number; reportedAtMs: number; }>();

    return {
        update(teams) {
            const now = performance.now();
            [...waits.keys()].filter((team) => !teams.has(team)).forEach((team) => waits.delete(team));
            for (const team of teams) {
                const wait = waits.get(team) ?? { sinceMs: now, reportedAtMs: -Infinity };
                waits.set(team, wait);
                const waitedMs = Math.round(now - wait.sinceMs);
                if (waitedMs >= firstReportMs && now - wait.reportedAtMs >= reportIntervalMs) {
                    wait.reportedAtMs = now;
                    opts.report({ kind: "limitWait", team, waitedMs, ...opts.view(team) });
                }
            }
        },
        longestWaitMs: () => Math.max(0, ...[...waits.values()].map(({ sinceMs }) => performance.now() - sinceMs)),
    };
}
