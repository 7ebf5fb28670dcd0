/** A call without an answer for this long is overdue, in milliseconds. A slow store takes about 300. */
export const callOverdueMs = 400;

/** A slow server or a busy entry delays all calls alike, so the later call takes about as long as the overdue one. */
const minOverdueFactor = 10;

/**
 * Decides whether a call has no answer because of its connection, and not because of the server.
 *
 * @param overdueMs time since the call was sent, without the time that it waits at the server by design
 * @param laterCallMs time that the server took to answer a later call over a new connection
 */
export function isConnectionSilent(overdueMs: number, laterCallMs: number): boolean {
    return overdueMs >= callOverdueMs && overdueMs >= laterCallMs * minOverdueFactor;
}
