import type { CompletionForecast } from '../../workflow/forecast/completion-forecast.ts'
import type { Demand, JobDefinition, Step } from '../../workflow/job.ts'
import { estimateRunMs } from '../../workflow/run-times/run-time-model.ts'
import { MAX_LATENESS_FACTOR } from '../../workflow/order/step-rank.ts'
import { computeChainsMs } from '../../workflow/task.ts'

/**
 * Where the newest go first, work that waits this many times as long as it is of use refuses jobs. In a steady load of `a` times the
 * rate, the work that is still of use takes `a - 1` times that long, and one job in `a` ends in time: with 3, a quarter of them. Callers that
 * are refused come back late, so that a lower factor cost more jobs in time than it saved.
 */
const NEWEST_FIRST_FACTOR = 3
/** A wait that every job can bear, in milliseconds: a forecast is not more precise. */
const MIN_BEARABLE_WAIT_MS = 1_000
/** Callers are never told to come back sooner than this, nor later than the second, in milliseconds. */
const RETRY_AFTER_RANGE_MS = { min: 1_000, max: 30_000 } as const
/** How long after its time a caller still goes before others, in milliseconds; it may come late under load. */
const KEPT_MS = 3_000
/** A caller that comes at its time is accepted unless the wait has become too long by more than this, in milliseconds. */
const TOLERANCE_MS = 1_000
/** Callers of one queue and organisation whose times are remembered. */
const MAX_PROMISES = 1_000

/**
 * When a refused caller is to come back, on the monotonic clock, and how long its job takes all that such jobs may use.
 * `isBeyondShare`: it was refused for its organisation's share of submissions, and not for the wait.
 */
type Promised = { readonly at: number, readonly costMs: number, readonly isBeyondShare: boolean }

/** Decides which submissions are refused because their jobs would end too late to be of use to their callers. */
export class ForecastRefusals {
  /** By queue and organisation, and by job, in the order of their times. */
  private readonly promises = new Map<string, Map<string, Promised>>()

  private constructor (private readonly now: () => number, private readonly random: () => number) {}

  /**
   * Creates the refusals of a member. `random`: spreads the times that members give for a forecast that all of them have.
   *
   * @example
   * const refusals = ForecastRefusals.create(() => performance.now(), Math.random)
   * refusals.getRetryAfterMs(definition, link.getForecasts()) // undefined: the job is welcome
   */
  static create (now: () => number, random: () => number): ForecastRefusals {
    return new ForecastRefusals(now, random)
  }

  /** Returns after which time the caller should submit the job again, in milliseconds, or undefined if the job is welcome. */
  getRetryAfterMs ({ id, queue, organisation, steps, firstAtMs }: JobDefinition, forecasts: readonly CompletionForecast[]): number | undefined {
    if (firstAtMs > 0 || steps.some(({ longRunning }) => longRunning)) return undefined
    const key = JSON.stringify([queue, organisation])
    const forecast = forecasts.find((each) => each.queue === queue && each.organisation === organisation)
    if (forecast === undefined) {
      this.promises.delete(key)
      return undefined
    }
    const now = this.now()
    const promises = this.getPromises(key, now)
    const own = promises.get(id)
    const bearableMs = computeBearableWaitMs(steps, forecast)
    const excessMs = forecast.waitMs + sumCosts(promises, own) - bearableMs
    const isBeyondShare = own === undefined && this.isBeyondShare(forecast, bearableMs)
    const mustWait = isBeyondShare || (isEarly(own, now) && own.isBeyondShare)
    if ((excessMs <= 0 && !mustWait) || (own !== undefined && now >= own.at && excessMs <= TOLERANCE_MS)) {
      promises.delete(id)
      return undefined
    }
    const intervalMs = Math.max(computeCostMs(steps, forecast), forecast.beyondShare?.intervalMs ?? 0)
    const promised = isEarly(own, now) ? own : this.promise(promises, id, { excessMs: Math.max(0, excessMs), costMs: computeCostMs(steps, forecast), isBeyondShare, intervalMs: intervalMs * forecast.members })
    return Math.min(RETRY_AFTER_RANGE_MS.max, Math.max(RETRY_AFTER_RANGE_MS.min, promised.at - now))
  }

  /**
   * Whether a new job counts as beyond its organisation's share, and would be of no use then. Only the leader sees all jobs of an
   * organisation; each member refuses the ratio of them that would be.
   */
  private isBeyondShare ({ beyondShare }: CompletionForecast, bearableMs: number): boolean {
    return beyondShare !== undefined && beyondShare.waitMs > bearableMs && this.random() < beyondShare.ratio
  }

  /** Each member gives its own times, so that they are as many times further apart as there are members. */
  private promise (promises: Map<string, Promised>, id: string, { excessMs, intervalMs, ...promise }: Omit<Promised, 'at'> & { readonly excessMs: number, readonly intervalMs: number }): Promised {
    const now = this.now()
    const lastAt = Math.max(...[...promises.values()].map(({ at }) => at))
    const at = promises.size === 0 ? now + excessMs + this.random() * intervalMs : Math.max(now + excessMs, lastAt + intervalMs)
    const promised = { ...promise, at: Math.min(at, now + RETRY_AFTER_RANGE_MS.max) }
    promises.delete(id)
    if (promises.size < MAX_PROMISES) promises.set(id, promised)
    return promised
  }

  /** Returns the times whose callers may still come. */
  private getPromises (key: string, now: number): Map<string, Promised> {
    const valid = [...this.promises.get(key) ?? []].filter(([, { at }]) => at + KEPT_MS > now)
    const promises = new Map(valid)
    this.promises.set(key, promises)
    return promises
  }
}

/** Whether a caller was told to come back later. */
function isEarly (own: Promised | undefined, now: number): own is Promised {
  return own !== undefined && now < own.at
}

/** Time that the jobs take whose callers come before the given one, or all of them for a new caller; without those beyond the share. */
function sumCosts (promises: ReadonlyMap<string, Promised>, own: Promised | undefined): number {
  return [...promises.values()].reduce((sum, { at, costMs, isBeyondShare }) => !isBeyondShare && at < (own?.at ?? Infinity) ? sum + costMs : sum, 0)
}

/** Time that a job can wait and still be of use. The shorter of the declared and the estimated time counts, in doubt. */
function computeBearableWaitMs (steps: readonly Step[], { objective: { stretch, latencyObjectiveMs }, runTimes, newestFirst }: CompletionForecast): number {
  const declaredMs = Math.max(...computeChainsMs(steps))
  const expectedMs = Math.max(...computeChainsMs(steps, (ms) => estimateRunMs(runTimes, ms)))
  const usefulMs = MAX_LATENESS_FACTOR * (stretch * declaredMs + latencyObjectiveMs)
  if (newestFirst === true) return Math.max(MIN_BEARABLE_WAIT_MS, NEWEST_FIRST_FACTOR * usefulMs)
  return Math.max(MIN_BEARABLE_WAIT_MS, usefulMs - Math.min(declaredMs, expectedMs))
}

/** Time that a job would take all that such jobs may use, in milliseconds. */
function computeCostMs (steps: readonly Step[], { rate, runTimes }: CompletionForecast): number {
  const computeUse = (resource: keyof Demand): number => steps.reduce((sum, { count, demand, estimatedMs }) => sum + count * demand[resource] * estimateRunMs(runTimes, estimatedMs), 0)
  const costs = (['cpuMillis', 'memoryMiB', 'accelerators'] as const).map((resource) => rate[resource] > 0 ? computeUse(resource) / rate[resource] : 0)
  return Math.max(...costs)
}
