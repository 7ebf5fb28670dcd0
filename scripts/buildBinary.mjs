import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { bundle } from "./bundle.mjs";

/** Bundles the program into one file and puts it into a copy of the node executable. */

const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("build", { recursive: true });
mkdirSync("dist", { recursive: true });
await bundle("src/cli/main.ts", "build/samphirepin.cjs");
writeFileSync(
    "build/sea.json",
    JSON.stringify({
        main: "build/samphirepin.cjs",
        output: "build/samphirepin.blob",
        disableExperimentalSEAWarning: true,
        useCodeCache: true,
    }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "build/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, "dist/samphirepin");
chmodSync("dist/samphirepin", 0o755);
execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    "dist/samphirepin",
    "NODE_SEA_BLOB",
    "build/samphirepin.blob",
    "--sentinel-fuse",
    fuse,
], { stdio: "ignore" });
process.stdout.write("built dist/samphirepin\n");
