import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { ESLint } from "eslint";
import assert from "node:assert/strict";

interface World {
    rules: (string | undefined)[];
}

setDefaultTimeout(60_000);

When("the linter reads {string} in {string}", async function(this: World, path: string, file: string) {
    const text = `import * as other from "${path}";\nexport { other };\n`;
    const [result] = await new ESLint().lintText(text, { filePath: file });
    this.rules = result?.messages.map(({ ruleId }) => ruleId ?? undefined) ?? [];
});

Then("it is refused", function(this: World) {
    assert.ok(this.rules.includes("no-restricted-imports"), this.rules.join());
});

Then("it is allowed", function(this: World) {
    assert.deepEqual(this.rules, []);
});
