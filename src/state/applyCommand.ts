import { type Either, Left, Right } from "purify-ts";
import { applyChange } from "./applyChange";
import type { CommandRecord, FleetState, Rejection } from "./state";

/** Applies one command; deterministic, so that every entry comes to the same state from the same log. */
export function applyCommand(state: FleetState, record: CommandRecord): Either<Rejection, FleetState> {
    const { command } = record;
    switch (command.kind) {
        case "change": {
            let next: Either<Rejection, FleetState> = Right(state);
            for (const change of command.changes) {
                next = next.chain((current) => applyChange(current, change));
            }
            return next.map((changed) => ({ ...changed, revision: state.revision + 1 }));
        }
        default:
            return Left({ kind: "rejected", detail: "a command of a kind that this version does not know" });
    }
}
