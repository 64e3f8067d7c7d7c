import type { CountEffect } from '../model/report.ts'
import { escapeLabel, formatMetricName } from './prometheus.ts'

/** Names and reasons are string literals in the source; the limit keeps a bug that creates more series from filling the memory. */
const MAX_SERIES = 2000
const OVERFLOW = { counter: 'counter-overflow', reason: 'too-many-series' } as const

/**
 * Counters by name and reason.
 *
 * @example
 * const counters = Counters.create()
 * counters.count({ counter: 'refused', reason: 'team-limit' })
 */
export class Counters {
  private readonly series = new Map<string, Map<string, number>>()
  private size = 0

  private constructor () {}

  static create (): Counters {
    return new Counters()
  }

  /** Increments a counter. */
  count ({ counter, reason }: Pick<CountEffect, 'counter' | 'reason'>): void {
    const reasons = this.series.get(counter)
    const value = reasons?.get(reason)
    if (value !== undefined) reasons!.set(reason, value + 1)
    else if (this.size < MAX_SERIES || counter === OVERFLOW.counter) this.addSeries(counter, reason)
    else this.count(OVERFLOW)
  }

  /** Returns the value of a counter; 0 if it was never incremented. */
  getValue (counter: string, reason: string): number {
    return this.series.get(counter)?.get(reason) ?? 0
  }

  /** Formats all counters as lines of the Prometheus text format. */
  formatLines (): readonly string[] {
    return [...this.series].sort(([left], [right]) => left < right ? -1 : 1).flatMap(([counter, reasons]) => {
      const name = `${formatMetricName(counter)}_total`
      const rows = [...reasons].sort(([left], [right]) => left < right ? -1 : 1).map(([reason, value]) => `${name}{reason="${escapeLabel(reason)}"} ${value}`)
      return [`# TYPE ${name} counter`, ...rows]
    })
  }

  private addSeries (counter: string, reason: string): void {
    const reasons = this.series.get(counter) ?? new Map<string, number>()
    this.series.set(counter, reasons.set(reason, 1))
    this.size += 1
  }
}
