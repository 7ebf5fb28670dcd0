/** Requests that may not be repeated: each idempotency key runs at most once in the whole fleet. */
export { type BucketSettings, defaultBucketSettings } from "./bucketSettings";
export { createOnce, defaultOnceLimits, type OnceLimits, type OnceOptions } from "./createOnce";
export type { Ticket } from "./createTickets";
export { endSchema } from "./messages";
export type { Admission, Claim, Once, RunHere } from "./once";
