import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { commands } from "../commands";
import { type IntentFileError, parseIntent } from "../readIntentFile";
import { runCommand } from "../runCommand";

interface World {
    errors: readonly IntentFileError[];
    exitCode: number;
    output: string;
    helps: string[];
    servers: Server[] | undefined;
    secondCount: number;
}

/** Runs a command and captures its output. */
async function run(world: World, line: string): Promise<void> {
    const [out, err] = [process.stdout.write, process.stderr.write];
    world.output = "";
    const capture = (text: unknown) => {
        world.output += String(text);
        return true;
    };
    process.stdout.write = capture as typeof out;
    process.stderr.write = capture as typeof err;
    try {
        world.exitCode = await runCommand(line.split(" ").slice(1));
    }
    finally {
        process.stdout.write = out;
        process.stderr.write = err;
    }
}

async function listen(onRequest: () => void): Promise<Server> {
    const server = createServer((req) => {
        onRequest();
        req.socket.destroy();
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    return server;
}

After(function(this: World) {
    this.servers?.forEach((server) => server.close());
});

Given("an entry that receives a request and closes the connection", async function(this: World) {
    this.secondCount = 0;
    this.servers = [await listen(() => {}), await listen(() => this.secondCount++)];
});

When("this intent is read:", function(this: World, text: string) {
    this.errors = parseIntent(text).swap().orDefault([]);
});

When("{string} is run", function(this: World, line: string) {
    return run(this, line);
});

When("{string} is run against it and a second entry", function(this: World, line: string) {
    const urls = this.servers!.map((server) => `http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    return run(this, `${line} --entries ${urls.join(",")}`);
});

When("the help of every command is printed", async function(this: World) {
    this.helps = [];
    for (const { id } of commands) {
        await run(this, `samphirepin ${id} --help`);
        this.helps.push(this.output);
    }
});

Then("the errors are at {string}", function(this: World, expected: string) {
    assert.equal(this.errors.map(({ line, field }) => `${line} ${field}`).join(", "), expected);
});

Then("the first error is at line {int}", function(this: World, line: number) {
    assert.equal(this.errors[0]?.line, line);
});

Then("the exit code is {int}", function(this: World, code: number) {
    assert.equal(this.exitCode, code, this.output);
});

Then("the errors name {string}", function(this: World, flags: string) {
    flags.split(", ").forEach((flag) => assert.ok(this.output.includes(`  ${flag} `), flag));
});

Then("each shows an example", function(this: World) {
    this.helps.forEach((help) => assert.match(help, /EXAMPLES\n {2}\$ samphirepin/));
});

Then("the second entry received {int} requests", function(this: World, count: number) {
    assert.equal(this.secondCount, count);
});
