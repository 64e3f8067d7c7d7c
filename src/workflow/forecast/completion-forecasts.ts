import { count, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Queue } from '../settings/cell-configuration.ts'
import { measureLoad } from './cell-load.ts'
import type { CellLoad } from './cell-load.ts'
import type { BeyondShare, CompletionForecast } from './completion-forecast.ts'
import { computeExpectedWait, wouldExceedShare } from './expected-wait.ts'

const UPDATE_INTERVAL_MS = 400
/** A wait that every job can bear, in milliseconds: the forecast is not more precise. */
export const MIN_FORECAST_WAIT_MS = 1_000
/** A wait has to be long for this time before it counts, in milliseconds: most bursts are over by then. */
const MIN_DURATION_MS = 1_000
/** Nothing is forecast for this time after the runs of earlier owners are known, in milliseconds: most work of a term starts then. */
const FIRST_FORECAST_MS = 5_000
/** With a larger part of the capacity of a pool on targets that are silent for a moment, its waits are not those of its work. */
const MAX_SILENT_RATIO = 0.1
/** Weight of the latest look in the ratio of an organisation's jobs that are beyond its share; half of them have to be. */
const EXCESS_SMOOTHING_FACTOR = 0.3
const MIN_EXCESS_RATIO = 0.5
/** While waits are long, the longest is logged at most this often, in milliseconds. */
const LOG_INTERVAL_MS = 5_000
const MS_PER_S = 1_000

/** How long further jobs would wait for room, by queue and organisation; only where that is long and has been for a while. */
export class CompletionForecasts {
  private current: readonly CompletionForecast[] = []
  private updateAt = -Infinity
  private settledAt = Infinity
  private logAt = -Infinity
  /** By queue and organisation, since when the wait has been long, on the scheduler's clock. */
  private exceededSince = new Map<string, number>()
  /** Ratio of the recent time for which a further job of an organisation would have been beyond its share of submissions. */
  private excess = new Map<string, number>()

  private constructor (private readonly enabled: boolean) {}

  /**
   * Creates the forecasts of an owner.
   *
   * @example
   * const forecasts = CompletionForecasts.create(options.features.completionForecast)
   * forecasts.update(state)
   * forecasts.list // [{ queue: 'stock', organisation: 'zuu', waitMs: 6_250, … }]
   */
  static create (enabled: boolean): CompletionForecasts {
    return new CompletionForecasts(enabled)
  }

  /** The long waits, as of the last update. */
  get list (): readonly CompletionForecast[] {
    return this.current
  }

  /** Computes the waits, unless that was done a moment ago. */
  update (state: CellState): void {
    if (!this.enabled || state.now < this.updateAt) return
    this.updateAt = state.now + UPDATE_INTERVAL_MS
    if (state.earlierRunsPossible || state.configuration === undefined) this.settledAt = Infinity
    else this.settledAt = Math.min(this.settledAt, state.now)
    const wasLong = this.current.length > 0
    this.current = state.now - this.settledAt < FIRST_FORECAST_MS ? [] : this.computeAll(state, measureLoad(state))
    this.report(state, wasLong)
  }

  private computeAll (state: CellState, load: CellLoad): readonly CompletionForecast[] {
    this.updateExcess(state, load)
    const exceededSince = new Map<string, number>()
    const forecasts = (state.configuration?.queues ?? []).flatMap((queue) => {
      if (isDisturbed(load, queue.pool)) return []
      return [...this.excess.keys()].flatMap((organisation) => {
        const wait = computeExpectedWait(state, load, queue, organisation, false)
        const beyondShare = this.computeBeyondShare(state, load, queue, organisation)
        if (Math.max(wait.waitMs, beyondShare?.waitMs ?? 0) <= MIN_FORECAST_WAIT_MS) return []
        const key = JSON.stringify([queue.name, organisation])
        const since = this.exceededSince.get(key) ?? state.now
        exceededSince.set(key, since)
        if (state.now - since < MIN_DURATION_MS) return []
        const runTimes = state.runTimes.getModel(queue.name)
        const { stretch, latencyObjectiveMs } = queue
        return [{ queue: queue.name, organisation, ...wait, members: Math.max(1, state.pendingAdvice.channels), objective: { stretch, latencyObjectiveMs }, newestFirst: state.lastingBacklogs.has(organisation, queue.priority), ...beyondShare !== undefined && { beyondShare }, ...runTimes !== undefined && { runTimes } }]
      })
    })
    this.exceededSince = exceededSince
    return forecasts
  }

  private computeBeyondShare (state: CellState, load: CellLoad, queue: Queue, organisation: string): BeyondShare | undefined {
    const ratio = this.excess.get(organisation) ?? 0
    const weight = state.organisations.find(organisation)?.weight ?? 0
    if (ratio < MIN_EXCESS_RATIO || weight <= 0) return undefined
    return { waitMs: computeExpectedWait(state, load, queue, organisation, true).waitMs, ratio, intervalMs: MS_PER_S / weight }
  }

  /** Organisations without waiting work have no long wait. */
  private updateExcess (state: CellState, { waiting }: CellLoad): void {
    const organisations = new Set(waiting.map(({ organisation }) => organisation))
    this.excess = new Map([...organisations].map((organisation) => {
      const previous = this.excess.get(organisation) ?? 0
      return [organisation, previous + EXCESS_SMOOTHING_FACTOR * (Number(wouldExceedShare(state, organisation)) - previous)]
    }))
  }

  private report (state: CellState, wasLong: boolean): void {
    const [longest] = [...this.current].sort((left, right) => getLongestWaitMs(right) - getLongestWaitMs(left))
    if (longest === undefined) {
      if (wasLong) log(state, 'info', 'completion-overload-ended', {})
      return
    }
    for (const cause of new Set(this.current.map((forecast) => forecast.cause))) count(state, 'completion-overload', cause)
    if (state.now < this.logAt) return
    this.logAt = state.now + LOG_INTERVAL_MS
    const { queue, organisation, cause, waitMs, rate, members, beyondShare } = longest
    log(state, 'warn', 'completion-overloaded', { queue, organisation, cause, waitMs: Math.round(waitMs), usableCpuMillis: Math.round(rate.cpuMillis), usedCpuMillis: state.usage.get(organisation)?.cpuMillis ?? 0, beyondShareWaitMs: Math.round(beyondShare?.waitMs ?? 0), beyondShareRatio: Number((beyondShare?.ratio ?? 0).toFixed(2)), members, forecasts: this.current.length })
  }
}

function getLongestWaitMs ({ waitMs, beyondShare }: CompletionForecast): number {
  return Math.max(waitMs, beyondShare?.waitMs ?? 0)
}

/** Whether so much of a pool is silent for a moment that its work waits for that. */
function isDisturbed ({ pools }: CellLoad, pool: string): boolean {
  const room = pools.get(pool)
  return room === undefined || room.capacity.cpuMillis === 0 || room.silentCpuMillis > MAX_SILENT_RATIO * room.capacity.cpuMillis
}
