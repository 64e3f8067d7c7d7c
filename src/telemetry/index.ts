/** Counters, gauges, histograms and their Prometheus text format, and the log of state changes. */
export { Counters } from './counters.ts'
export { Gauges, type Labels } from './gauges.ts'
export { Histograms } from './histograms.ts'
export { Logger, type LoggerOptions } from './logger.ts'
export { escapeLabel, formatMetricName, PROMETHEUS_CONTENT_TYPE } from './prometheus.ts'
export { Telemetry } from './telemetry.ts'
