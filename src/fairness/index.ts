/** Fair division among pools and client accounts, without I/O or clock. */
export { divideMaxMin } from "./divideMaxMin";
