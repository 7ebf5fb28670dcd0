import { runPlanProperty } from "./standins/fleet";
async function main() {
    const [from, to] = process.argv.slice(2).map(Number);
    const t = performance.now();
    let bad = 0, plans = 0, starts = 0;
    for (let s = from!; s < to!; s++) {
        const r = await runPlanProperty(s);
        plans += r.plans;
        starts += r.taskStarts;
        if (r.violations.length) {
            bad++;
            if (bad < 6) { console.log(s, r.violations.slice(0, 3), r.violations.length, r.story.length); }
        }
    }
    console.log({ bad, plans, starts, ms: (performance.now() - t) / (to! - from!) });
}
void main().then(() => process.exit(0));
