/** The HTTP gateway that callers and operators reach, and what it hands to the services behind it. */
export { createGateway, type GatewayOptions } from "./createGateway";
export type { HttpMeta } from "./httpMeta";
