import type { RunTimeModel } from './run-time-model.ts'

/** Number of runs from which on estimates are made. */
export const MIN_LEARNED_RUNS = 30
/** Factor by which the weight of earlier runs falls with each run: 100 runs count, so that a change is followed within a few hundred. */
const DECAY_PER_RUN = 0.99
/** A longer run counts as this many times its estimate: one task in 30 takes seven times as long, and would move the regression. */
const MAX_RUN_RATIO = 4
/** Limit of the slope of the real times over the declared ones. */
const MAX_SLOPE = 1.5
/** Declared times further from the mean than this many standard deviations, and half of the mean, are not estimated. */
const RANGE_DEVIATIONS = 3
const RANGE_MEAN_RATIO = 0.5
/** Lowest estimate as a ratio of the mean run time. */
const FLOOR_RATIO = 0.1
/** Variance of the declared times, as a ratio of their squared mean, below which they are taken as equal. */
const MIN_RELATIVE_VARIANCE = 1e-4

/** Decayed sums over the runs of a queue: declared times `x` and real times `y`, in seconds. */
export type RunTimeSums = {
  readonly runs: number
  readonly weight: number
  readonly x: number
  readonly y: number
  readonly xx: number
  readonly xy: number
  readonly yy: number
}

const NO_RUNS: RunTimeSums = { runs: 0, weight: 0, x: 0, y: 0, xx: 0, xy: 0, yy: 0 }
const MS_PER_S = 1_000

/** What the runs of one queue have shown: a decayed regression of the real run times on the declared ones. */
export class RunTimeStatistics {
  private constructor (private current: RunTimeSums) {}

  /**
   * Creates the statistics of a queue, of no runs or as they were stored.
   *
   * @example
   * const statistics = RunTimeStatistics.create()
   * statistics.record(680, 1_120)
   * statistics.computeModel() // undefined: too few runs
   */
  static create (sums: RunTimeSums = NO_RUNS): RunTimeStatistics {
    return new RunTimeStatistics(sums)
  }

  get sums (): RunTimeSums {
    return this.current
  }

  /** Records a run that ended as done. `estimateMs`: what was expected of it. Times are in milliseconds. */
  record (declaredMs: number, runMs: number, estimateMs = Infinity): void {
    const { runs, weight, x, y, xx, xy, yy } = this.current
    const limitMs = runs < MIN_LEARNED_RUNS ? Infinity : MAX_RUN_RATIO * estimateMs
    const declared = declaredMs / MS_PER_S
    const real = Math.min(runMs, limitMs) / MS_PER_S
    const add = (sum: number, value: number): number => sum * DECAY_PER_RUN + value
    this.current = { runs: runs + 1, weight: add(weight, 1), x: add(x, declared), y: add(y, real), xx: add(xx, declared * declared), xy: add(xy, declared * real), yy: add(yy, real * real) }
  }

  /** Computes the estimate that the runs support; undefined while there are too few of them. */
  computeModel (): RunTimeModel | undefined {
    const { runs, weight, x, y, xx, xy, yy } = this.current
    if (runs < MIN_LEARNED_RUNS || weight <= 0) return undefined
    const meanX = x / weight
    const meanY = y / weight
    const varianceX = Math.max(0, xx / weight - meanX * meanX)
    const covariance = xy / weight - meanX * meanY
    const slope = clampSlope(varianceX > MIN_RELATIVE_VARIANCE * meanX * meanX ? covariance / varianceX : meanY / Math.max(meanX, Number.MIN_VALUE))
    const varianceY = Math.max(0, yy / weight - meanY * meanY)
    const residual = Math.max(0, varianceY - 2 * slope * covariance + slope * slope * varianceX)
    const rangeX = RANGE_DEVIATIONS * Math.sqrt(varianceX) + RANGE_MEAN_RATIO * meanX
    return {
      interceptMs: (meanY - slope * meanX) * MS_PER_S,
      slope,
      minDeclaredMs: (meanX - rangeX) * MS_PER_S,
      maxDeclaredMs: (meanX + rangeX) * MS_PER_S,
      floorMs: FLOOR_RATIO * meanY * MS_PER_S,
      spreadMs: Math.sqrt(residual) * MS_PER_S
    }
  }
}

/** A declaration that is not informative has the slope 0, so that the mean is estimated. */
function clampSlope (slope: number): number {
  return Math.min(MAX_SLOPE, Math.max(0, slope))
}
