/** At-most-once execution of requests that must not be repeated, by idempotency key, across all entries of a fleet. */
export { type BucketSettings, defaultBucketSettings } from "./bucketSettings";
export { createOnce, defaultOnceLimits, type OnceLimits, type OnceOptions } from "./createOnce";
export type { Ticket } from "./createTickets";
export { endSchema } from "./messages";
export type { Admission, Claim, Once, RunHere } from "./once";
