/** Metrics of one daemon, in the Prometheus text format. */
export { createMetrics, type Metrics } from "./createMetrics";
