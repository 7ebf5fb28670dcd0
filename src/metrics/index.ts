/** Metrics of one daemon, in the Prometheus text format. */
export { createEventMetrics, type EventMetrics, type MetricReadings } from "./createEventMetrics";
export { createMetrics, type Metrics } from "./createMetrics";
