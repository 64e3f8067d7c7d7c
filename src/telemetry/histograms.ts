import { build, type Histogram } from 'hdr-histogram-js'
import { formatMetricName } from './prometheus.ts'

/** Quantiles cover the current and the previous window, that is, one to two minutes. */
const WINDOW_MS = 60_000
/** Longer durations are recorded as one hour, so that a histogram has a fixed size of a few kilobytes. */
const MAX_DURATION_US = 3_600_000_000
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const
const US_PER_MS = 1000
const US_PER_S = 1_000_000

type Series = { current: Histogram, previous: Histogram, windowStart: number, count: number, sumUs: number }

/**
 * Durations by name. They are kept in windows, so that quantiles show recent values and not all values since the start.
 *
 * @example
 * const histograms = Histograms.create()
 * histograms.record('decision', 0.4, now)
 */
export class Histograms {
  private readonly series = new Map<string, Series>()

  private constructor () {}

  static create (): Histograms {
    return new Histograms()
  }

  /** Records a duration in milliseconds at the time `now` (milliseconds, monotonic). */
  record (name: string, durationMs: number, now: number): void {
    if (!Number.isFinite(durationMs)) return
    const series = this.series.get(name) ?? { current: createHistogram(), previous: createHistogram(), windowStart: now, count: 0, sumUs: 0 }
    this.series.set(name, series)
    rotateWindows(series, now)
    const us = Math.min(MAX_DURATION_US, Math.max(0, Math.round(durationMs * US_PER_MS)))
    series.current.recordValue(us)
    series.count += 1
    series.sumUs += us
  }

  /** Returns a quantile of the current and the previous window in milliseconds; 0 if they have no values. */
  getQuantileMs (name: string, quantile: number, now: number): number {
    const series = this.series.get(name)
    if (series === undefined) return 0
    rotateWindows(series, now)
    return mergeWindows(series).getValueAtPercentile(quantile * 100) / US_PER_MS
  }

  /** Formats one summary in seconds for each name, as lines of the Prometheus text format. */
  formatLines (now: number): readonly string[] {
    return [...this.series].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([id, series]) => {
      rotateWindows(series, now)
      const name = `${formatMetricName(id)}_seconds`
      const values = mergeWindows(series)
      const quantiles = QUANTILES.map((quantile) => `${name}{quantile="${quantile}"} ${values.totalCount === 0 ? 'NaN' : values.getValueAtPercentile(quantile * 100) / US_PER_S}`)
      return [`# TYPE ${name} summary`, ...quantiles, `${name}_sum ${series.sumUs / US_PER_S}`, `${name}_count ${series.count}`]
    })
  }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, autoResize: false, lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_US, numberOfSignificantValueDigits: 2 })
}

function rotateWindows (series: Series, now: number): void {
  const windows = Math.floor((now - series.windowStart) / WINDOW_MS)
  if (windows <= 0) return
  const recycled = series.previous
  series.previous = series.current
  recycled.reset()
  series.current = recycled
  if (windows > 1) series.previous.reset()
  series.windowStart += windows * WINDOW_MS
}

function mergeWindows (series: Series): Histogram {
  const values = createHistogram()
  values.add(series.previous)
  values.add(series.current)
  return values
}
