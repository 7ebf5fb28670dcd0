import { z } from "zod";

/** Topic of reports between entries. */
export const reportTopic = "shares";
/** Topic of the request for a full report, sent after a report was missed. */
export const fullReportTopic = "shares.whole";

const amount = z.number().nonnegative();

/**
 * Team; running tasks, processors, memory, accelerators; the same four for waiting tasks; urgent waiting tasks; age of
 * the oldest waiting task in ms.
 */
const rowSchema = z.tuple([
    z.string().max(128),
    amount,
    amount,
    amount,
    amount,
    amount,
    amount,
    amount,
    amount,
    amount,
    amount,
]);
export type ReportRow = z.infer<typeof rowSchema>;

/** Rows by pool that have changed since the previous report. A full report replaces all earlier rows. */
export const reportSchema = z.object({
    sequence: z.number().int().nonnegative(),
    isWhole: z.boolean(),
    pools: z.record(z.string().max(128), z.array(rowSchema)),
});
export type Report = z.infer<typeof reportSchema>;
