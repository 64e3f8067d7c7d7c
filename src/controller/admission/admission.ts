import { ForecastRefusals } from './forecast-refusals.ts'
import { MIN_BEARABLE_WAIT_MS, computeWaitMs } from '../../workflow/advice/advice-backlog.ts'
import type { Overload } from '../../workflow/advice/advice-backlog.ts'
import type { JobDefinition } from '../../workflow/job.ts'
import type { CompletionForecast } from '../../workflow/forecast/completion-forecast.ts'
import { computeChainsMs } from '../../workflow/task.ts'

/** No job is accepted that would wait longer for a channel, in milliseconds, however late its objective is. */
const MAX_BEARABLE_WAIT_MS = 8_000

/** When callers are to come back that were refused because the leader's memory is full, in milliseconds. */
const FULL_RETRY_AFTER_MS = 5_000

/** The same for those refused until the leader's next word. */
const CREDIT_RETRY_AFTER_MS = 2_000

/** Callers are never told to come back sooner than this, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000

/** What a refused job would have to wait for: the leader's memory, or its next word on that, the advisor, or room. */
export type RefusalCause = 'leader-full' | 'leader-credit' | 'advice' | 'completion'

export type AdmissionOptions = {
  /** The leader's overloads; empty if they are not known. */
  readonly getOverloads: () => readonly Overload[]
  /** Whether the jobs that have not ended leave no room in the leader's memory for this one. */
  readonly isLeaderFull: (definition: JobDefinition) => boolean
  /** Takes the memory that the job needs at the leader; false if there is not enough. Without it, there is. */
  readonly takeCredit?: (definition: JobDefinition) => boolean
  /** The leader's forecasts; empty if they are not known. */
  readonly getForecasts?: () => readonly CompletionForecast[]
  /** Called for each refusal with its cause. */
  readonly onRefused?: (cause: RefusalCause) => void
  readonly now?: () => number
}

/** Decides which submissions are refused because the leader could not hold their jobs, or not start them in time. */
export class Admission {
  /** By queue and organisation, and by job, when callers that were refused are to come back, on the monotonic clock. */
  private readonly promises = new Map<string, Map<string, number>>()

  private readonly forecastRefusals: ForecastRefusals

  private constructor (private readonly options: AdmissionOptions, private readonly now: () => number) {
    this.forecastRefusals = ForecastRefusals.create(now, Math.random)
  }

  /**
   * Creates the admission of a member.
   *
   * @example
   * const admission = Admission.create({ getOverloads: () => link.getOverloads(), isLeaderFull: (definition) => link.isLeaderFull(definition) })
   * const retryAfterMs = admission.getRetryAfterMs(definition) // undefined: the job is welcome
   */
  static create (options: AdmissionOptions): Admission {
    return new Admission(options, options.now ?? (() => performance.now()))
  }

  /**
   * Returns after which time the caller should submit the job again, in milliseconds, or undefined if the job is
   * welcome. Callers that are refused one after another get times one after another, as far apart as their jobs take; a
   * caller that comes back too early keeps its time.
   */
  getRetryAfterMs (definition: JobDefinition): number | undefined {
    if (this.options.isLeaderFull(definition)) return this.refuse('leader-full', FULL_RETRY_AFTER_MS)
    const adviceMs = this.getAdviceRetryMs(definition)
    if (adviceMs !== undefined) return this.refuse('advice', adviceMs)
    const completionMs = this.forecastRefusals.getRetryAfterMs(definition, this.options.getForecasts?.() ?? [])
    if (completionMs !== undefined) return this.refuse('completion', completionMs)
    return this.options.takeCredit?.(definition) === false ? this.refuse('leader-credit', CREDIT_RETRY_AFTER_MS) : undefined
  }

  private refuse (cause: RefusalCause, retryAfterMs: number): number {
    this.options.onRefused?.(cause)
    return retryAfterMs
  }

  /** Time until the channels to the advisor can serve the job; undefined if its wait for them is bearable. */
  private getAdviceRetryMs ({ id, queue, organisation, steps }: JobDefinition): number | undefined {
    const key = JSON.stringify([queue, organisation])
    const overload = this.options.getOverloads().find((each) => each.queue === queue && each.organisation === organisation)
    if (overload === undefined) {
      this.promises.delete(key)
      return undefined
    }
    const costMs = steps.length * overload.stepMs
    const excessMs = computeWaitMs(overload, costMs) - computeBearableWaitMs(steps, overload)
    if (excessMs <= 0) return undefined
    const promises = this.getPromises(key)
    const promisedAt = promises.get(id) ?? Math.max(this.now() + excessMs, ...promises.values()) + costMs
    promises.set(id, promisedAt)
    return Math.max(MIN_RETRY_AFTER_MS, promisedAt - this.now())
  }

  /** Returns the times that have not passed. */
  private getPromises (key: string): Map<string, number> {
    const valid = [...this.promises.get(key) ?? []].filter(([, at]) => at > this.now())
    const promises = new Map(valid)
    this.promises.set(key, promises)
    return promises
  }
}

/** Time that a job can wait and still end by its objective. Tasks that last have none. */
function computeBearableWaitMs (steps: JobDefinition['steps'], { objective }: Overload): number {
  if (steps.some(({ longRunning }) => longRunning)) return MIN_BEARABLE_WAIT_MS
  const slackMs = (objective.stretch - 1) * Math.max(...computeChainsMs(steps)) + objective.latencyObjectiveMs
  return Math.min(MAX_BEARABLE_WAIT_MS, Math.max(MIN_BEARABLE_WAIT_MS, slackMs))
}
