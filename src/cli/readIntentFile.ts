import { readFileSync } from "node:fs";
import { type Either, Left, Right } from "purify-ts";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import { type Intent, intentSchema } from "../plans";

/** An error in an intent file and its position. */
export interface IntentFileError {
    readonly line: number;
    readonly field: string;
    readonly message: string;
}

/** Reads an intent from a YAML or JSON file (`-` for standard input); reports every error with line and field. */
export function readIntentFile(path: string): Either<readonly IntentFileError[], Intent> {
    let text: string;
    try {
        text = readFileSync(path === "-" ? 0 : path, "utf8");
    }
    catch (error) {
        return Left([{ line: 0, field: "", message: String(error) }]);
    }
    return parseIntent(text);
}

export function parseIntent(text: string): Either<readonly IntentFileError[], Intent> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        return Left(document.errors.map(({ pos, message }) => ({
            line: lines.linePos(pos[0]).line,
            field: "",
            message: message.split("\n")[0] ?? "",
        })));
    }
    const parsed = intentSchema.safeParse(document.toJS() ?? {});
    if (parsed.success) {
        return Right(parsed.data);
    }
    return Left(parsed.error.issues.map(({ path, message }) => ({
        line: findLine(document, path, lines),
        field: path.join("."),
        message,
    })));
}

/** Returns the line of a field or, if the file lacks it, of its nearest enclosing node. */
function findLine(document: Document, path: readonly PropertyKey[], lines: LineCounter): number {
    for (let depth = path.length; depth >= 0; depth--) {
        const node = document.getIn(path.slice(0, depth), true);
        if (isNode(node) && node.range) {
            return lines.linePos(node.range[0]).line;
        }
    }
    return 1;
}
