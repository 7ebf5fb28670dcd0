/** HTTP servers whose connections are limited in what they can make the process hold. */
export type { IntakeLimit } from "./connectionLoad";
export type { Listener, ListenerOptions } from "./createListener";
export { createListeners, type Listeners } from "./createListeners";
export {
    type ConnectionLimits,
    defaultIntakeLimits,
    defaultMaxLinkRequests,
    deriveConnectionLimits,
    type IntakeLimits,
} from "./intakeLimits";
export type { RequestRefusal } from "./requestRefusals";
