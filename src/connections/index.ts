/** Connections that have fallen silent: no call on them is answered, although the server works. */
export { callOverdueMs, isConnectionSilent } from "./isConnectionSilent";
