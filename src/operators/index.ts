/** The operators' HTTP interface: intents, plans, keys, and what is in force. */
export { createOperators, type OperatorsOptions } from "./createOperators";
