/** Daemon on the users' platform; `main.ts` starts it. */
export { createStoreAccess, type StoreAccess } from "./createStoreAccess";
