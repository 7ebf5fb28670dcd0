/** Why a run is dropped: each cause guarantees that it does not run, and never will again. */
export const DropCause = {
    /** No start request has been sent. */
    notOrdered: "notOrdered",
    /** The worker refused the start. */
    refused: "refused",
    /** The worker lists it neither as running nor as ended. */
    absent: "absent",
    /** Its worker does not answer, and its lease has expired by the worker's clock. */
    leaseOver: "leaseOver",
    /** The incarnation of its worker has ended. */
    lifeEnded: "lifeEnded",
} as const;

export type DropCause = typeof DropCause[keyof typeof DropCause];
