/** The operators' HTTP interface: intents, plans, keys, and what is in force. */
export { createOperators } from "./createOperators";
export { operatorAliases } from "./operatorAliases";
export type { OperatorsOptions } from "./operatorContext";
