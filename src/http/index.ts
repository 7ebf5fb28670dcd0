/** The HTTP gateway for callers and operators, and the metadata that it passes to the services behind it. */
export { createGateway, type GatewayOptions } from "./createGateway";
export type { HttpMeta } from "./httpMeta";
