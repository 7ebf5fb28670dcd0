import { callEntry, type EntryRequest, reportFailure } from "./callEntry";
import type { Invocation } from "./defineCommand";
import { ExitCode } from "./exitCode";
import { writeAnswer } from "./output";

/** Sends one request and prints the response, as JSON or with `render`. `next` then continues with the response. */
export async function callAndPrint<T>(
    flags: Invocation["flags"],
    call: EntryRequest,
    render: (answer: T) => void,
    next: (answer: T) => Promise<ExitCode> = () => Promise.resolve(ExitCode.Done),
): Promise<ExitCode> {
    const answer = await callEntry(flags as never, call);
    return answer.caseOf<Promise<ExitCode>>({
        Left: (failure) => Promise.resolve(reportFailure(failure, flags["json"] === true)),
        Right: (body) => {
            writeAnswer(body as T, flags["json"] === true, render);
            return next(body as T);
        },
    });
}
