/** At-most-once execution of requests that must not be repeated, by idempotency key, across all entries of a fleet. */
export { type BucketSettings, defaultBucketSettings } from "./bucketSettings";
export {
    createIdempotencyGuard,
    defaultIdempotencyLimits,
    type IdempotencyGuardOptions,
    type IdempotencyLimits,
} from "./createIdempotencyGuard";
export type { Ticket } from "./createTickets";
export type { Admission, Claim, IdempotencyGuard, RunForwardedTask } from "./idempotencyGuard";
export { endSchema } from "./messages";
