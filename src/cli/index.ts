/** The `samphirepin` command line: one module for each command. */
export { runCommand } from "./runCommand";
