import { z } from "zod";
import { createSecret } from "../keys";
import type { Change } from "../state";
import type { Handler, OperatorsOptions } from "./operatorContext";
import { toFieldProblem, toProblem } from "./toProblem";

const grantSchema = z.object({ team: z.string().min(1).max(128) });

/** Grants and withdraws team keys. */
export function createKeyHandlers({ configuration }: OperatorsOptions) {
    async function change<T>(by: string, reason: string, changes: readonly Change[], answer: T): Promise<unknown> {
        const appended = await configuration.append({ by, reason, command: { kind: "change", changes } });
        return appended.caseOf<unknown>({ Left: toProblem, Right: (revision) => ({ ...answer, revision }) });
    }

    const grant: Handler = async ({ operator, params }) => {
        const parsed = grantSchema.safeParse(params);
        if (!parsed.success) {
            return toFieldProblem("request", parsed.error);
        }
        const { id, text, hash } = createSecret();
        const key = { hash, grantedAtMs: Date.now() };
        const changes = [{ kind: "grantKey", team: parsed.data.team, keyId: id, key } as const];
        return change(operator, "grant a key", changes, { keyId: id, key: text });
    };

    const withdraw: Handler = ({ operator, params }) => {
        const keyId = String(params["id"]);
        return change(operator, "withdraw a key", [{ kind: "withdrawKey", keyId }], { keyId });
    };

    return { grant, withdraw };
}
