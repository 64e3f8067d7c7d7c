import { escapeLabel, formatMetricName } from './prometheus.ts'

/** Labels of a value by name. */
export type Labels = Readonly<Record<string, string | number>>

/** Enough for one series per team or host in the largest supported deployment, with a margin. */
const MAX_SERIES_PER_GAUGE = 20_000

/**
 * Current values by name and labels.
 *
 * @example
 * const gauges = Gauges.create()
 * gauges.set('waiting', { group: 3 }, 12)
 */
export class Gauges {
  private readonly series = new Map<string, Map<string, number>>()

  private constructor () {}

  static create (): Gauges {
    return new Gauges()
  }

  /** Sets one value; values that are not finite are ignored, because Prometheus would record them as gaps. */
  set (name: string, labels: Labels, value: number): void {
    if (!Number.isFinite(value)) return
    const values = this.series.get(name) ?? new Map<string, number>()
    const key = formatLabels(labels)
    if (values.size < MAX_SERIES_PER_GAUGE || values.has(key)) this.series.set(name, values.set(key, value))
  }

  /** Removes all values of a gauge, for example before the values of all teams are set again. */
  clear (name: string): void {
    this.series.delete(name)
  }

  /** Formats all gauges as lines of the Prometheus text format. */
  formatLines (): readonly string[] {
    return [...this.series].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([name, values]) => (
      [`# TYPE ${formatMetricName(name)} gauge`, ...[...values].map(([labels, value]) => `${formatMetricName(name)}${labels} ${value}`)]
    ))
  }
}

function formatLabels (labels: Labels): string {
  const parts = Object.entries(labels).map(([label, value]) => `${label}="${escapeLabel(String(value))}"`)
  return parts.length === 0 ? '' : `{${parts.join(',')}}`
}
