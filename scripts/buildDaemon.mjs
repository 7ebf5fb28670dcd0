import { bundle } from "./bundle.mjs";

/** Bundles the daemon of the users' platform into one file for node. */
await bundle("src/daemon/main.ts", "target/samphirepin.cjs");
process.stdout.write("built target/samphirepin.cjs\n");
