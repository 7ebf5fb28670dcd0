import { createHash, randomBytes } from "node:crypto";

/** Random bytes in a secret. */
const secretBytes = 32;

/** A key or credential at the one moment when its text is known. */
export interface Secret {
    /** Public name of the secret, safe to show and to log. */
    readonly id: string;
    /** `id.random`; shown once and never kept. */
    readonly text: string;
    /** SHA-256 of the text, in hexadecimal. */
    readonly hash: string;
}

export function createSecret(): Secret {
    const id = randomBytes(6).toString("hex");
    const text = `${id}.${randomBytes(secretBytes).toString("base64url")}`;
    return { id, text, hash: hashSecret(text) };
}

/** SHA-256 in hexadecimal; the secrets are random and long, so that a slow hash would add nothing. */
export function hashSecret(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
