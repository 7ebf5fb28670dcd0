import { pause } from "../clock";
import type { Reporter } from "../logging";
import type { Advice, AdviceResult } from "./advice";

export interface AdvisorOptions {
    readonly advice: Advice;
    readonly steadyMs: () => number;
    readonly report: Reporter;
    /** New permissions have come. */
    onChange(): void;
}

export interface Advisor {
    /**
     * Workers that may run a step now, or `undefined` where that is not known yet; then they are asked for.
     * `candidates` are workers that could run it otherwise.
     */
    allowed(step: string, candidates: readonly string[]): ReadonlySet<string> | undefined;
    /** The permission for a start; `undefined` where there is none that is valid. */
    ticket(step: string, workerId: string): string | undefined;
    /** The step is over. */
    forget(step: string): void;
}

/** Workers named in one question; each costs time, and a step rarely needs more. */
const maxAsked = 30;

/** A permission is used only while it is valid for this long, in milliseconds, so that the start arrives in time. */
const marginMs = 500;

/** Pause after a question that was turned away or got no answer, in milliseconds. */
const retryMs = 200;

interface StepPermits {
    readonly tickets: ReadonlyMap<string, string>;
    readonly validUntilMs: number;
}

/** Asks for permissions one question after the other, as the service answers each caller in turn. */
export function createAdvisor(opts: AdvisorOptions): Advisor {
    const known = new Map<string, StepPermits>();
    const waiting = new Map<string, readonly string[]>();
    let isBusy = false;

    async function drain(): Promise<void> {
        if (isBusy) {
            return;
        }
        isBusy = true;
        for (let next = waiting.entries().next(); !next.done; next = waiting.entries().next()) {
            const [step, candidates] = next.value;
            const askedAtMs = opts.steadyMs();
            const result = await opts.advice.ask(step, candidates);
            take(step, result, askedAtMs);
            if (result.kind !== "permits") {
                await pause(retryMs);
            }
        }
        isBusy = false;
    }

    function take(step: string, result: AdviceResult, askedAtMs: number): void {
        waiting.delete(step);
        opts.report({ kind: "note", slice: "advice", message: result.kind, detail: step });
        if (result.kind === "permits") {
            const tickets = new Map(result.permits.map(({ workerId, ticket }) => [workerId, ticket]));
            known.set(step, { tickets, validUntilMs: askedAtMs + result.validityMs - marginMs });
            opts.onChange();
        }
    }

    function findValid(step: string): StepPermits | undefined {
        const permits = known.get(step);
        return permits !== undefined && opts.steadyMs() < permits.validUntilMs ? permits : undefined;
    }

    return {
        allowed(step, candidates) {
            const permits = findValid(step);
            if (permits === undefined && candidates.length > 0 && !waiting.has(step)) {
                waiting.set(step, candidates.slice(0, maxAsked));
                void drain();
            }
            return permits === undefined ? undefined : new Set(permits.tickets.keys());
        },
        ticket: (step, workerId) => findValid(step)?.tickets.get(workerId),
        forget: (step) => void known.delete(step),
    };
}
