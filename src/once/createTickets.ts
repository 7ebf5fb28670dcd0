import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** An idempotency key that names the boot which issued it; only that boot may run it. */
export interface Ticket {
    /** The text to send as the idempotency key. */
    readonly ticket: string;
    /** The boot that issued it. */
    readonly boot: string;
    /** How long it is valid, in milliseconds. */
    readonly lifetimeMs: number;
}

export type TicketCheck = "valid" | "expired" | "forged";

export interface Tickets {
    issue(team: string): Ticket;
    /** Checks a ticket that names this boot. */
    check(team: string, text: string): TicketCheck;
}

export interface TicketsOptions {
    readonly boot: string;
    readonly lifetimeMs: number;
}

const prefix = "ticket";
const secretBytes = 32;
const nonceBytes = 12;

/** Returns the boot that a ticket names as its issuer, unverified; `undefined` for a key that is not a ticket. */
export function parseTicketIssuer(idempotencyKey: string): string | undefined {
    const [kind, boot, issuedAt, nonce, mac, ...rest] = idempotencyKey.split("~");
    const isTicket = kind === prefix && boot !== undefined && issuedAt !== undefined && nonce !== undefined
        && mac !== undefined && rest.length === 0;
    return isTicket ? boot : undefined;
}

/**
 * Issues tickets that this boot can verify without storing them: each carries a message authentication code (HMAC) made
 * with a secret that exists only in this process. Times are from the monotonic clock, which cannot be set back.
 */
export function createTickets(opts: TicketsOptions): Tickets {
    const secret = randomBytes(secretBytes);

    function sign(team: string, issuedAt: string, nonce: string): Buffer {
        return createHmac("sha256", secret).update(JSON.stringify([opts.boot, team, issuedAt, nonce])).digest();
    }

    return {
        issue(team) {
            const issuedAt = Math.floor(performance.now()).toString(36);
            const nonce = randomBytes(nonceBytes).toString("base64url");
            const mac = sign(team, issuedAt, nonce).toString("base64url");
            const ticket = [prefix, opts.boot, issuedAt, nonce, mac].join("~");
            return { ticket, boot: opts.boot, lifetimeMs: opts.lifetimeMs };
        },
        check(team, text) {
            const [, , issuedAt = "", nonce = "", mac = ""] = text.split("~");
            const expected = sign(team, issuedAt, nonce);
            const given = Buffer.from(mac, "base64url");
            if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
                return "forged";
            }
            return performance.now() - Number.parseInt(issuedAt, 36) > opts.lifetimeMs ? "expired" : "valid";
        },
    };
}
