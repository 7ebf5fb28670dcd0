import { createHash, randomBytes } from "node:crypto";

/** Number of random bytes in a secret. */
const secretBytes = 32;

/** A new key or credential; its text is known only when it is created. */
export interface Secret {
    /** Public id of the secret, safe to show and to log. */
    readonly id: string;
    /** Text of the form `id.random`; it is shown once and never stored. */
    readonly text: string;
    /** SHA-256 of the text, in hexadecimal. */
    readonly hash: string;
}

export function createSecret(): Secret {
    const id = randomBytes(6).toString("hex");
    const text = `${id}.${randomBytes(secretBytes).toString("base64url")}`;
    return { id, text, hash: hashSecret(text) };
}

/** SHA-256 in hexadecimal; secrets are long and random, so a slow password hash would add no security. */
export function hashSecret(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
