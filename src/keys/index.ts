/** Team keys and operator credentials: random texts that are stored as hashes and compared in constant time. */
export { authenticateOperator } from "./authenticateOperator";
export { type AuthenticatedTeam, authenticateTeam } from "./authenticateTeam";
export { checkKey, type KeyedTask } from "./checkKey";
export { createSecret, hashSecret, type Secret } from "./createSecret";
