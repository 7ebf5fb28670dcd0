import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runCommand } from "../../src/cli";
import { createPoolIntent, type Fleet, startFleet } from "../../standins/processes";

interface World {
    fleet: Fleet;
    folder: string;
    keyId: string;
}

interface Printed {
    readonly exitCode: number;
    readonly text: string;
}

setDefaultTimeout(90_000);

const topics = ["pools", "instances", "teams", "limits", "waves", "plans", "entries", "state"];

/** Runs a command as the operator of the fleet and keeps what it prints. */
async function run(world: World, ...words: string[]): Promise<Printed> {
    process.env["SAMPHIREPIN_ENTRIES"] = world.fleet.entries[0]!.url;
    process.env["SAMPHIREPIN_CREDENTIAL"] = world.fleet.operatorCredential;
    const write = process.stdout.write;
    let text = "";
    process.stdout.write = ((part: unknown) => {
        text += String(part);
        return true;
    }) as typeof write;
    try {
        return { exitCode: await runCommand(words), text };
    }
    finally {
        process.stdout.write = write;
    }
}

async function planAndConfirm(world: World, intent: unknown): Promise<string> {
    const file = join(world.folder, "intent.json");
    writeFileSync(file, JSON.stringify(intent));
    const planned = await run(world, "plan", file, "--json");
    assert.equal(planned.exitCode, 0, planned.text);
    const { id } = JSON.parse(planned.text) as { id: string; };
    const confirmed = await run(world, "confirm", id);
    assert.equal(confirmed.exitCode, 0, confirmed.text);
    assert.match(confirmed.text, /in force everywhere/);
    return id;
}

After(async function(this: World) {
    await this.fleet.stop();
    rmSync(this.folder, { recursive: true });
});

Given(
    "a platform, {int} workers and {int} entries as processes",
    async function(this: World, workers: number, entries: number) {
        this.folder = mkdtempSync(join(tmpdir(), "samphirepin-"));
        this.fleet = await startFleet({
            workerZones: Array.from({ length: workers }, () => "zone-a"),
            entryZones: Array.from({ length: entries }, () => "zone-a"),
        });
    },
);

When("the operator plans and confirms an intent with pool {string} and team {string}", async function(
    this: World,
    pool: string,
    team: string,
) {
    await planAndConfirm(this, createPoolIntent(this.fleet, { pool, teams: [{ name: team, tasks: 4 }] }));
});

When("a key is granted and entry 2 is frozen", async function(this: World) {
    const granted = await run(this, "key", "grant", "stables", "--json", "--wait-ms", "0");
    this.keyId = (JSON.parse(granted.text) as { keyId: string; }).keyId;
    this.fleet.entries[1]!.process.kill("SIGSTOP");
});

Then("each topic of \"show\" is printed", async function(this: World) {
    for (const topic of topics) {
        const { exitCode, text } = await run(this, "show", topic);
        assert.equal(exitCode, 0, `${topic}: ${text}`);
        assert.notEqual(text, "", topic);
    }
});

Then("a granted key is in force everywhere when the command ends", async function(this: World) {
    const { exitCode, text } = await run(this, "key", "grant", "stables");
    assert.equal(exitCode, 0, text);
    assert.match(text, /in force everywhere/);
});

Then("a wave over pool {string} is followed to its end", async function(this: World, pool: string) {
    const id = await planAndConfirm(this, { wave: { pools: [pool] } });
    const { exitCode, text } = await run(this, "follow", id);
    assert.equal(exitCode, 0, text);
    assert.match(text, /finished.*; 2 done/);
});

Then("withdrawing the key ends with exit code 5 and names entry 2", async function(this: World) {
    const { exitCode, text } = await run(this, "key", "withdraw", this.keyId, "--wait-ms", "1500");
    this.fleet.entries[1]!.process.kill("SIGCONT");
    assert.equal(exitCode, 5, text);
    assert.match(text, /entry-2 in zone-a/);
});
