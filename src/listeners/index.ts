/** HTTP servers whose connections are limited in what they can make the process hold. */
export { createIntake, type Intake } from "./createIntake";
export { createListener, type Listener, type ListenerOptions } from "./createListener";
export { defaultIntakeLimits, type IntakeLimits } from "./intakeLimits";
export { type RequestRefusal, RequestRefusals } from "./requestRefusals";
