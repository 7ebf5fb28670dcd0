/** Requests that may not be repeated: each idempotency key runs at most once in the whole fleet. */
export { createOnce, type OnceOptions } from "./createOnce";
export type { Admission, Claim, Once } from "./once";
