import { runCommand } from "./runCommand";

void runCommand(process.argv.slice(2)).then((exitCode) => {
    process.exitCode = exitCode;
});
