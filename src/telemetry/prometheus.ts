/** Media type of the Prometheus text format. */
export const PROMETHEUS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

/**
 * Formats the metric name of a kebab-case id.
 *
 * @example
 * formatMetricName('start-retried') // 'damaskfield_start_retried'
 */
export function formatMetricName (id: string): string {
  return `damaskfield_${id.replace(/[^a-zA-Z0-9]/g, '_')}`
}

/**
 * Escapes backslashes, quotes and line feeds in a label value, as the text format requires.
 *
 * @example
 * escapeLabel('a"b') // 'a\\"b'
 */
export function escapeLabel (value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')
}
