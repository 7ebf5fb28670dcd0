import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createIndexRanges } from "../index";

Then("random sets of indexes below {int} are held exactly", function(end: number) {
    const index = fc.nat(end - 1);
    fc.assert(fc.property(fc.array(fc.tuple(index, fc.nat(5))), (added) => {
        const ranges = createIndexRanges();
        const expected = new Set<number>();
        for (const [first, length] of added) {
            if (length === 0) {
                assert.equal(ranges.add(first), !expected.has(first));
                expected.add(first);
            }
            ranges.addRange([first, first + length]);
            Array.from({ length }, (_, at) => expected.add(first + at));
        }
        const all = Array.from({ length: end + 6 }, (_, at) => at);
        assert.deepEqual(all.filter((each) => ranges.has(each)), all.filter((each) => expected.has(each)));
        assert.equal(ranges.size, expected.size);
        const listed = ranges.list().flatMap(([first, last]) => all.slice(first, last));
        assert.deepEqual(listed, all.filter((each) => expected.has(each)));
        all.forEach((each) => {
            const missing = Array.from({ length: end + 10 }, (_, at) => each + at).find((next) => !expected.has(next));
            assert.equal(ranges.nextMissing(each), missing);
        });
    }));
});
