/** Distance from the ideal shares over time, at both users' sizes, against two baselines. */
export { sharesExperiment } from "./sharesExperiment";
