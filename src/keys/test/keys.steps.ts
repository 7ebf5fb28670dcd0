import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { applyCommand, type Change, createEmptyState, type FleetState } from "../../state";
import { authenticateTeam } from "../authenticateTeam";
import { checkKey } from "../checkKey";
import { createSecret, type Secret } from "../createSecret";

interface World {
    state: FleetState;
    secrets: { team: string; secret: Secret; }[];
}

const seed = 5;
const rounds = 4000;
const limit = { tasks: 1, processors: 1, memoryMb: 1, accelerators: 0 };

function apply(state: FleetState, changes: readonly Change[]): FleetState {
    const record = { id: "id", by: "test", atMs: 0, reason: "test", command: { kind: "change", changes } } as const;
    return applyCommand(state, record).unsafeCoerce();
}

function createTeams(teams: number, keys: number): World {
    const changes: Change[] = [];
    const secrets: World["secrets"] = [];
    for (let at = 0; at < teams; at++) {
        const team = `team-${at}`;
        changes.push({ kind: "setTeam", team: { name: team, weight: 1, limit, pools: [] } });
        for (let key = 0; key < keys; key++) {
            const secret = createSecret();
            secrets.push({ team, secret });
            changes.push({ kind: "grantKey", team, keyId: secret.id, key: { hash: secret.hash, grantedAtMs: 0 } });
        }
    }
    return { state: apply(createEmptyState(), changes), secrets };
}

Given("{int} teams with {int} keys each", function(this: World, teams: number, keys: number) {
    Object.assign(this, createTeams(teams, keys));
});

Then("each key is accepted for its own team", function(this: World) {
    this.secrets.forEach(({ team, secret }) => {
        assert.deepEqual(authenticateTeam(this.state, secret.text), { team, keyId: secret.id });
    });
});

Then("{int} random or damaged keys are refused", function(this: World, runs: number) {
    const damaged = fc.tuple(fc.constantFrom(...this.secrets), fc.nat(), fc.constantFrom("", "A", "B", "."))
        .map(([{ secret }, at, put]) => {
            const place = at % secret.text.length;
            return secret.text.slice(0, place) + put + secret.text.slice(place + 1);
        })
        .filter((text) => !this.secrets.some(({ secret }) => secret.text === text));
    const text = fc.oneof(
        fc.string(),
        damaged,
        fc.constantFrom("__proto__", "constructor.x", ".", "x".repeat(100_000)),
    );
    fc.assert(fc.property(text, (key) => authenticateTeam(this.state, key) === undefined), { numRuns: runs, seed });
});

When("a key is withdrawn", function(this: World) {
    this.state = apply(this.state, [{ kind: "withdrawKey", keyId: this.secrets[0]!.secret.id }]);
});

Then("its task is refused with {string} right before the send", function(this: World, code: string) {
    const { team, secret } = this.secrets[0]!;
    assert.equal(checkKey(this.state, { team, keyId: secret.id })?.code, code);
    assert.equal(authenticateTeam(this.state, secret.text), undefined);
});

Then("a task of another key goes on", function(this: World) {
    const { team, secret } = this.secrets[1]!;
    assert.equal(checkKey(this.state, { team, keyId: secret.id }), undefined);
});

/** Returns the shortest of several measurements, because other load on the machine can only lengthen them. */
function measureMs({ state, secrets }: World): number {
    const timesMs = Array.from({ length: 5 }, () => {
        const startedAtMs = performance.now();
        for (let round = 0; round < rounds; round++) {
            authenticateTeam(state, secrets[round % secrets.length]!.secret.text);
        }
        return performance.now() - startedAtMs;
    });
    return Math.min(...timesMs);
}

Then("a lookup among {int} teams takes at most {int} times as long as among {int}", function(
    many: number,
    factor: number,
    few: number,
) {
    const [large, small] = [measureMs(createTeams(many, 1)), measureMs(createTeams(few, 1))];
    assert.ok(large <= factor * small, `${large} ms against ${small} ms`);
});
