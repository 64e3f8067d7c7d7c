import type { CountEffect, LogEffect } from '../model/report.ts'
import { assertNever } from '../util/assert-never.ts'
import { Counters } from './counters.ts'
import { Gauges } from './gauges.ts'
import { Histograms } from './histograms.ts'
import { Logger, type LoggerOptions } from './logger.ts'

/**
 * Metrics and log of one member.
 *
 * @example
 * const telemetry = Telemetry.create({ member: 'entry-1', level: 'info' })
 * telemetry.report({ type: 'count', counter: 'refused', reason: 'overloaded' })
 * response.end(telemetry.formatMetrics(performance.now()))
 */
export class Telemetry {
  readonly counters = Counters.create()
  readonly gauges = Gauges.create()
  readonly histograms = Histograms.create()

  private constructor (private readonly logger: Logger) {}

  static create (options: LoggerOptions): Telemetry {
    return new Telemetry(Logger.create(options))
  }

  /** Handles a count or log effect. */
  report (effect: CountEffect | LogEffect): void {
    switch (effect.type) {
      case 'count': return this.counters.count(effect)
      case 'log': return this.logger.write(effect)
      default: return assertNever(effect)
    }
  }

  /** Formats all metrics in the Prometheus text format; `now` is on the monotonic clock, in milliseconds. */
  formatMetrics (now: number): string {
    return [...this.counters.formatLines(), ...this.gauges.formatLines(), ...this.histograms.formatLines(now), ''].join('\n')
  }
}
