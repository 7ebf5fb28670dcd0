import { z } from "zod";

/** Topic of reports between entries. */
export const reportTopic = "shares";
/** Topic of the question for a whole report, sent where a report was missed. */
export const wholeTopic = "shares.whole";

const amount = z.number().nonnegative();

/** Team; running tasks, processors, memory, accelerators; the same waiting; urgent tasks; age of the oldest in ms. */
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

/** Rows that have changed since the report before, by pool. A whole report replaces all that was known. */
export const reportSchema = z.object({
    sequence: z.number().int().nonnegative(),
    isWhole: z.boolean(),
    pools: z.record(z.string().max(128), z.array(rowSchema)),
});
export type Report = z.infer<typeof reportSchema>;
