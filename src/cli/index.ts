/** The `samphirepin` command line, with one module per command. */
export { runCommand } from "./runCommand";
